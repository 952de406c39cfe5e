/**
 * Corrects the share of calls that leave the failure domain.
 */

import type { DomainLoad } from "./domain_load.ts";

/**
 * The share that leaves is led towards `SHARE_PER_LOAD` times the load of the
 * own domain above `KEPT_LOAD`, so that its instances stay nearly full with
 * little queueing. All daemons of a domain see the same load, so their shares
 * approach each other; if each added up its own corrections, some would drift to
 * 0 and others to all.
 */
const KEPT_LOAD = 0.85;
const SHARE_PER_LOAD = 3;

/** Part of the way to the aimed share that one correction goes; the load that replies report lags behind the share by about two corrections. */
const DAMPING = 0.03;

/** The same while calls return, so that they do not leave for longer than needed. */
const RETURN_DAMPING = 0.06;

/** Load that corrections go by at most; a longer queue drains by itself and does not mean more demand. */
const MAX_LOAD = 1.25;

/** Largest rise at one of the first corrections, by the share of the calls that the own domain refuses. */
const MAX_FIRST_RISE = 0.2;

/** Rise at one of the first corrections while the load is above the highest that corrections go by. */
const FIRST_RISE = 0.08;

/** Time for which corrections are the first ones, in milliseconds. */
const FIRST_RISES_MS = 600;

/** Largest share of the calls that leaves the domain. */
const MAX_SHARE = 0.8;

/** State before a correction. */
export interface ShareState {
  /** Share that leaves now. */
  readonly left: number;
  /** Load ratio of the own domain. */
  readonly loadRatio: number;
  /** Time since calls began to leave, in milliseconds. */
  readonly leavingForMs: number;
}

/**
 * Computes the change of the share that leaves.
 *
 * @param own - Load of the own domain
 * @param state - Share before the correction
 * @returns The change; negative if calls return
 *
 * @example
 * computeShareChange(own, { left: 0.2, loadRatio: 0.7, leavingForMs: 5_000 }); // -0.039
 */
export function computeShareChange(
  own: Pick<DomainLoad, "isFalling" | "refusedRatio">,
  { left, loadRatio, leavingForMs }: ShareState,
): number {
  if (loadRatio > 1 && own.isFalling) {
    return 0; // The queue drains, so enough calls leave.
  }
  const load = Math.min(MAX_LOAD, loadRatio);
  const aimed = SHARE_PER_LOAD * (load - KEPT_LOAD);
  const isStarting = leavingForMs <= FIRST_RISES_MS;
  const damping = aimed < left ? RETURN_DAMPING : DAMPING;
  const firstRise = Math.min(MAX_FIRST_RISE, own.refusedRatio);
  const change = isStarting && (firstRise > 0 || loadRatio >= MAX_LOAD)
    ? Math.max(FIRST_RISE, firstRise)
    : damping * (aimed - left);
  return Math.max(-left, Math.min(MAX_SHARE - left, change));
}
