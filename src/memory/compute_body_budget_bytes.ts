/**
 * Share of a process's memory limit that bodies may use.
 */

/** Resident memory of a busy process that holds no bodies, in bytes. */
const BASE_BYTES = 110_000_000;

/** Share of the rest for bodies; what remains is for copies on their way through sockets, and for garbage that has not been collected yet. */
const BODY_RATIO = 0.5;

/** Lowest budget, in bytes. */
const MIN_BUDGET_BYTES = 8_000_000;

/**
 * Computes how many bytes of bodies a process may hold.
 *
 * @param memoryLimitBytes - Limit of the process's resident memory, in bytes
 * @returns The budget, in bytes
 *
 * @example
 * new MemoryBudget({ clock, capacityBytes: computeBodyBudgetBytes(350_000_000) }); // 120 MB
 */
export function computeBodyBudgetBytes(memoryLimitBytes: number): number {
  const spareBytes = memoryLimitBytes - BASE_BYTES;
  return Math.max(MIN_BUDGET_BYTES, Math.floor(spareBytes * BODY_RATIO));
}
