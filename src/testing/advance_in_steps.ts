/**
 * Advances a manual clock in steps, so that pending promises settle in between.
 */

import type { ManualClock } from "./manual_clock.ts";

/**
 * Advances a clock in steps and runs the pending tasks after each step.
 *
 * @param clock - The clock to advance
 * @param durationMs - Total time, in milliseconds
 * @param stepMs - Length of a step, in milliseconds
 * @returns Resolves after the last step
 *
 * @example
 * await advanceInSteps(clock, 2_000, 10);
 */
export async function advanceInSteps(
  clock: ManualClock,
  durationMs: number,
  stepMs: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
    clock.advance(Math.min(stepMs, durationMs - elapsedMs));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Advances a clock until a promise settles.
 *
 * @param clock - The clock to advance
 * @param task - The promise to wait for
 * @param stepMs - Length of a step, in milliseconds
 * @returns The value of the promise; rejects if the promise does
 *
 * @example
 * const version = await advanceUntil(clock, writer.submit(proposal, basedOn), 10);
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
