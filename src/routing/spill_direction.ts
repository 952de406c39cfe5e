/**
 * Another failure domain that calls to a service may leave to.
 */

import { DomainLoad } from "./domain_load.ts";

/** Load of another domain from which its share is reduced, and from which it counts as full; the rest is reserved for its own traffic. */
const ROOM_LOAD = 0.9;
const FULL_LOAD = 1.5;

/** Part of its share that a domain without room loses at one correction. */
const ROOM_DAMPING = 0.5;

/** Ratio of failed and refused calls from which another domain gets none. */
const MAX_FAILED_RATIO = 0.3;
const MAX_REFUSED_RATIO = 0.3;

/** Bounds of the time for which a domain that failed or was full gets no calls, in milliseconds. */
const MIN_BACKOFF_MS = 2_000;
const MAX_BACKOFF_MS = 30_000;

/** Time for which calls that arrived from another domain prevent calls to it, in milliseconds. */
export const RECEIPT_MS = 3_000;

/** Another failure domain with instances of the service. */
export interface SpillTarget {
  readonly domain: string;
  readonly isOwnRegion: boolean;
  /** Assumed network round-trip time, in milliseconds. */
  readonly networkLatencyMs: number;
}

/** A share that a domain is to have, and why. */
export interface ShareCorrection {
  readonly share: number;
  readonly cause: string;
}

/** Load and share of another domain, and whether it may get calls. */
export class SpillDirection {
  readonly target: SpillTarget;
  readonly load = new DomainLoad();
  share = 0;
  receivedAtMs = Number.NEGATIVE_INFINITY;
  /** Since when leaving to it has paid, in monotonic milliseconds; infinite while it does not. */
  wantedSinceMs = Number.POSITIVE_INFINITY;
  #blockedUntilMs = 0;
  #backoffMs = MIN_BACKOFF_MS;

  constructor(target: SpillTarget) {
    this.target = target;
  }

  /** Whether more calls may go there. */
  isOpen(nowMs: number): boolean {
    return nowMs >= this.#blockedUntilMs &&
      nowMs - this.receivedAtMs > RECEIPT_MS &&
      (this.load.loadRatio ?? 0) < ROOM_LOAD;
  }

  /** Ends the calls to a domain that fails or is full; undefined if its share stays. */
  check(nowMs: number): ShareCorrection | undefined {
    const { load, share } = this;
    if (share === 0) {
      return undefined;
    }
    const isFailing = load.failedRatio > MAX_FAILED_RATIO;
    const isFull = load.refusedRatio > MAX_REFUSED_RATIO ||
      (load.isKnown && (load.loadRatio ?? 0) >= FULL_LOAD);
    if (isFailing || isFull) {
      this.#blockedUntilMs = nowMs + this.#backoffMs;
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
      load.forget();
      return { share: 0, cause: isFailing ? "failing" : "other-full" };
    }
    if ((load.loadRatio ?? 1) < ROOM_LOAD) {
      this.#backoffMs = MIN_BACKOFF_MS;
    } else if (load.isKnown) {
      const excess = ((load.loadRatio ?? 0) - ROOM_LOAD) /
        (FULL_LOAD - ROOM_LOAD);
      return { share: share * (1 - ROOM_DAMPING * excess), cause: "other" };
    }
    return undefined;
  }

  /** Domains of the own region go first, then the less loaded. */
  precedes(other: SpillDirection): boolean {
    if (this.target.isOwnRegion !== other.target.isOwnRegion) {
      return this.target.isOwnRegion;
    }
    return (this.load.loadRatio ?? 0) < (other.load.loadRatio ?? 0);
  }
}
