/**
 * Notices by which daemons tell each other of requests that crash servers.
 */

import type { Crash } from "./crash_table.ts";

/** A backend server ended while it ran requests. */
export interface CrashNotice extends Crash {
  readonly kind: "crash";
  readonly fingerprints: readonly string[];
}

/** A request that is suspected ran to its end. */
export interface CleanRunNotice {
  readonly kind: "clean-run";
  readonly fingerprint: string;
  /** End of the run, in milliseconds since the epoch. */
  readonly atMs: number;
}

/** One of the notices. */
export type RequestNotice = CrashNotice | CleanRunNotice;
