/**
 * Movement of a manual clock while promises settle in between.
 */

import type { ManualClock } from "./manual_clock.ts";

/**
 * Advances a clock step by step and lets waiting tasks run after each.
 *
 * @param clock - The clock
 * @param durationMs - Total movement
 * @param stepMs - Movement between two rounds of tasks
 * @returns When all steps are done
 *
 * @example
 * await advanceInSteps(clock, 2_000, 10);
 */
export async function advanceInSteps(
  clock: ManualClock,
  durationMs: number,
  stepMs: number,
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    clock.advance(Math.min(stepMs, durationMs - passedMs));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Advances a clock until a task ends.
 *
 * @param clock - The clock
 * @param task - The task
 * @param stepMs - Movement between two rounds of tasks
 * @returns What the task gave
 *
 * @example
 * const version = await advanceUntil(clock, writer.submit(proposal, seen), 10);
 */
export async function advanceUntil<T>(
  clock: ManualClock,
  task: Promise<T>,
  stepMs: number,
): Promise<T> {
  let isPending = true;
  void task.finally(() => isPending = false);
  while (isPending) {
    await advanceInSteps(clock, stepMs, stepMs);
  }
  return await task;
}
