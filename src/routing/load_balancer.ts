/**
 * Choice of the instance that a call is sent to.
 */

import type { Result } from "neverthrow";
import type { LoadSignal, MemberRecord } from "../generated/types.ts";
import type { Reason } from "../outcome/mod.ts";

/** What the choice is told about a call. */
export interface ChoiceOptions {
  readonly service: string;
  /** Incarnations that this call must not be sent to again. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the answer is large. */
  readonly isBulk: boolean;
  /** Whether the call may be sent to an instance of which it is not known that it works. */
  readonly isRepeatable: boolean;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
  /** Latency that the call aims at, in milliseconds; every gain counts where absent. */
  readonly targetLatencyMs?: number | undefined;
}

/** Why no instance was chosen. */
export interface ChoiceRefusal {
  readonly reason: Reason;
  /** Wait to suggest to the caller, in milliseconds. */
  readonly retryAfterMs: number;
}

/** What is known of a call's bodies before it has ended. */
export interface BodySize {
  /** Whether the answer is large. */
  readonly isBulk: boolean;
}

/** How an attempt at an instance ended. */
export interface AttemptReport extends BodySize {
  readonly durationMs: number;
  readonly outcome: "answered" | "refused" | "unknown";
  /** Reason of a refusal or unknown outcome; empty for an answer. */
  readonly reason: string;
  /** Whether the backend server answered with an error of its own making. */
  readonly isErrorAnswer: boolean;
  readonly loads: readonly LoadSignal[];
  /** Bytes of the request and the reply bodies. */
  readonly bodyBytes: number;
}

/** Chooses among the instances of one service. */
export abstract class LoadBalancer {
  /** Chooses an instance, or tells why none may be used. */
  abstract choose(
    candidates: readonly MemberRecord[],
    options: ChoiceOptions,
  ): Result<MemberRecord, ChoiceRefusal>;

  /** An attempt at the instance begins. */
  abstract begin(instance: MemberRecord, body: BodySize): void;

  /** An attempt at the instance has ended. */
  abstract end(instance: MemberRecord, report: AttemptReport): void;
}

/** Wait suggested when no instance is known, in milliseconds. */
const NO_INSTANCE_RETRY_AFTER_MS = 1_000;

/** The refusal when no instance is known. */
export const NO_INSTANCE: ChoiceRefusal = {
  reason: "no-instance",
  retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS,
};
