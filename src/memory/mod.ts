/**
 * Bound of the memory that a process holds for calls.
 */

export { computeBodyBudgetBytes } from "./compute_body_budget_bytes.ts";
export { HeldMemory } from "./held_memory.ts";
export { LargeHolds } from "./large_holds.ts";
export { MemoryBudget, RESPONSE_RANK } from "./memory_budget.ts";
export type { AcquireOptions } from "./memory_budget.ts";
