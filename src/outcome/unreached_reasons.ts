/**
 * Reasons of refusals that occur before the attempt reaches a backend server.
 */

import { REASONS } from "./outcome.ts";

/** Reasons of attempts that reached no daemon, or one whose backend server does not work, takes no more requests or is slow at the moment. The next attempt therefore counts as the first. */
export const UNREACHED_REASONS: ReadonlySet<string> = new Set([
  REASONS.connectFailed,
  REASONS.leaving,
  REASONS.limitedInstance,
  REASONS.memoryFull,
  REASONS.noBackendServer,
  REASONS.slowInstance,
]);
