/**
 * Memory budgets for tests in which memory does not matter.
 */

import { HeldMemory, MemoryBudget } from "../memory/mod.ts";
import { ManualClock } from "./manual_clock.ts";

/**
 * Creates a budget without a bound.
 *
 * @returns The budget
 *
 * @example
 * new PeerServer({ ...options, memory: createTestBudget() });
 */
export function createTestBudget(): MemoryBudget {
  return new MemoryBudget({
    clock: new ManualClock(),
    capacityBytes: Number.POSITIVE_INFINITY,
  });
}

/**
 * Creates the memory of a call, without a bound.
 *
 * @returns The memory
 *
 * @example
 * await client.call(announcement, call, { memory: createTestMemory(), ...options });
 */
export function createTestMemory(): HeldMemory {
  return new HeldMemory(createTestBudget());
}
