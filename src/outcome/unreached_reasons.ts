/**
 * Refusals before any backend server has seen the attempt.
 */

import { REASONS } from "./outcome.ts";

/** Reasons of attempts that met a daemon without a working backend server, or none at all, so that another may be asked as if it had been the first. */
export const UNREACHED_REASONS: ReadonlySet<string> = new Set([
  REASONS.connectFailed,
  REASONS.leaving,
  REASONS.noBackendServer,
]);
