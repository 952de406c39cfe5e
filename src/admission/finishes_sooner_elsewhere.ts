/**
 * Decides whether a call is handed back, to be run on another instance.
 */

/** Expected completion here, relative to that elsewhere, from which a call is handed back; estimates of daemons differ by less. */
const MIN_GAIN_RATIO = 1.25;

/** Time that the way to another instance takes, with its processing, in milliseconds. */
const REDIRECT_MS = 5;

/** Slowness from which a call that could start at once is handed back, too. */
const MIN_SLOWNESS = 1.3;

/** A call that this instance could run, and one other instance. */
export interface HandBackFacts {
  /** Expected time until the call gets a slot here, in milliseconds; 0 if one is free. */
  readonly waitMs: number;
  /** Time that a call takes here on a VM that is as fast as usual, in milliseconds. */
  readonly usualHoldMs: number;
  /** Momentary slowness of this VM. */
  readonly slownessRatio: number;
  /** Expected time to completion at another instance, in milliseconds, as the sender estimates it. */
  readonly elsewhereMs: number;
}

/**
 * Decides whether a call would finish clearly sooner on another instance.
 *
 * @param facts - Expected durations here and elsewhere
 * @returns Whether to hand the call back
 *
 * @example
 * finishesSoonerElsewhere({ waitMs: 0, usualHoldMs: 100, slownessRatio: 2.5, elsewhereMs: 130 }); // true
 */
export function finishesSoonerElsewhere(
  { waitMs, usualHoldMs, slownessRatio, elsewhereMs }: HandBackFacts,
): boolean {
  const mayStartHere = waitMs === 0 && slownessRatio < MIN_SLOWNESS;
  const hereMs = (waitMs + usualHoldMs) * slownessRatio;
  return !mayStartHere && hereMs > elsewhereMs * MIN_GAIN_RATIO + REDIRECT_MS;
}
