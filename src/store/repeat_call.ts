/**
 * Repetition of a call to the object API until it succeeds.
 */

import type { Clock, RandomSource } from "../time/mod.ts";
import { Backoff } from "./backoff.ts";

/** Bounds of the delay before a failed call is repeated, in milliseconds. */
const DELAYS = { firstDelayMs: 750, maxDelayMs: 45_000 } as const;

/** Dependencies of {@link repeatCall}. */
export interface RepeatOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Called with each failure and the time until the next attempt, in milliseconds. */
  readonly reportFailure: (error: string, waitMs: number) => void;
  /** Whether the caller no longer needs the call. */
  readonly isStopped: () => boolean;
  /** Longest delay between attempts, in milliseconds; 45 s by default. */
  readonly maxDelayMs?: number;
}

/**
 * Repeats a call that returns a failure, with growing delays, until it succeeds.
 *
 * @param call - Makes one attempt; returns the failure, or undefined
 * @param options - Clock, random numbers and callbacks
 * @returns Resolves after the success, or when the caller no longer needs it
 *
 * @example
 * await repeatCall(() => this.#write(), options);
 */
export async function repeatCall(
  call: () => Promise<string | undefined>,
  { clock, random, reportFailure, isStopped, maxDelayMs }: RepeatOptions,
): Promise<void> {
  const backoff = new Backoff(random, {
    ...DELAYS,
    ...maxDelayMs !== undefined && { maxDelayMs },
  });
  while (!isStopped()) {
    const error = await call();
    if (error === undefined) {
      return;
    }
    const waitMs = backoff.nextDelayMs();
    reportFailure(error, waitMs);
    await clock.sleep(waitMs);
  }
}
