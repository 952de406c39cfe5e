/**
 * Share of a process's memory limit that bodies may use.
 */

/** Resident memory of a busy process that holds no bodies, in bytes. */
const BASE_BYTES = 90_000_000;

/**
 * Memory of bodies that are no longer held but not collected yet, in bytes.
 * Node.js collects it after a growth that does not depend on the process's limit.
 */
const UNCOLLECTED_BYTES = 180_000_000;

/** Lowest share of the limit for bodies. */
const MIN_RATIO = 0.15;

/**
 * Computes how many bytes of bodies a process may hold.
 *
 * @param memoryLimitBytes - Limit of the process's resident memory, in bytes
 * @returns The budget, in bytes
 *
 * @example
 * new MemoryBudget({ clock, capacityBytes: computeBodyBudgetBytes(350_000_000) }); // 80 MB
 */
export function computeBodyBudgetBytes(memoryLimitBytes: number): number {
  return Math.floor(Math.max(
    memoryLimitBytes - BASE_BYTES - UNCOLLECTED_BYTES,
    memoryLimitBytes * MIN_RATIO,
  ));
}
