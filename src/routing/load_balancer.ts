/**
 * Interface of the load balancers, which pick the instance that a call is sent
 * to.
 */

import type { Result } from "neverthrow";
import type { LoadSignal, MemberRecord } from "../generated/types.ts";
import type { Reason } from "../outcome/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";

/** Properties of a call that affect which instance is picked. */
export interface PickOptions {
  readonly service: string;
  /** Incarnations that the call must not be sent to, because they were already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the response is large. */
  readonly isBulk: boolean;
  /** Whether the call is safe to run twice, so that it may probe an ejected instance. */
  readonly isRepeatable: boolean;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
  /** Target latency of the call, in milliseconds; if absent, any latency gain counts. */
  readonly targetLatencyMs?: number | undefined;
}

/** Reason why no instance was picked. */
export interface PickFailure {
  readonly reason: Reason;
  /** Retry delay to suggest to the caller, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Properties of a call's payload that are known before the call ends. */
export interface PayloadInfo {
  /** Whether the response is large. */
  readonly isBulk: boolean;
}

/** Result of an attempt at an instance. */
export interface AttemptReport extends PayloadInfo {
  readonly durationMs: number;
  readonly outcome: "answered" | "refused" | "unknown";
  /** Reason of a refusal or an unknown outcome; empty if the call was answered. */
  readonly reason: string;
  /** Whether the backend server answered with a server error that it caused itself. */
  readonly isErrorAnswer: boolean;
  readonly loads: readonly LoadSignal[];
  /** Requests a second to which the instance limits all daemons, undefined for none; absent if the attempt does not tell. */
  readonly limit?: { readonly requestsPerSecond: number | undefined };
  /** Momentary slowness of the instance's VM that the reply states; absent if it states none. */
  readonly slowness?: StatedSlowness | undefined;
  /** Average load of the instance that the reply states, relative to its limit; absent if it states none. */
  readonly averageLoad?: number | undefined;
  /** Failure domains whose calls have left them and run on the instance, as the reply states; absent if there are none. */
  readonly spillReceipts?: readonly string[] | undefined;
  /** Total size of the request and response bodies, in bytes. */
  readonly bodyBytes: number;
}

/** Picks one of the instances of a service. */
export abstract class LoadBalancer {
  /** Picks an instance, or returns the reason why none can be used. */
  abstract pick(
    candidates: readonly MemberRecord[],
    options: PickOptions,
  ): Result<MemberRecord, PickFailure>;

  /** Whether an instance is left that has no limit and was not tried yet. */
  hasUnlimitedInstance(
    _candidates: readonly MemberRecord[],
    _excluded: ReadonlySet<string>,
  ): boolean {
    return true;
  }

  /**
   * Expected time to completion at another instance than the one picked last, in
   * milliseconds; undefined if there is none, or if the instances of its service
   * state no slowness.
   */
  get elsewhereMs(): number | undefined {
    return undefined;
  }

  /** Whether the instance picked last is in another failure domain though the own one has instances in rotation, and shares control that. */
  get isSpill(): boolean {
    return false;
  }

  /** Records the start of an attempt at an instance. */
  abstract startAttempt(instance: MemberRecord, payload: PayloadInfo): void;

  /** Records the result of an attempt at an instance. */
  abstract finishAttempt(instance: MemberRecord, report: AttemptReport): void;
}

/** Retry delay suggested when no instance is available, in milliseconds. */
const NO_INSTANCE_RETRY_AFTER_MS = 1_000;

/** Failure returned when no instance is available. */
export const NO_INSTANCE: PickFailure = {
  reason: "no-instance",
  retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS,
};
