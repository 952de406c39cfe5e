/**
 * Choice of the instance that a call is sent to.
 */

import type { LoadSignal, MemberRecord } from "../generated/types.ts";

/** What the choice is told about a call. */
export interface ChoiceOptions {
  /** Incarnations that this call must not be sent to again. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the answer is large. */
  readonly isBulk: boolean;
  /** Rank of the call's class; 0 is the most important. */
  readonly classRank: number;
}

/** How an attempt at an instance ended. */
export interface AttemptReport {
  readonly durationMs: number;
  readonly outcome: "answered" | "refused" | "unknown";
  /** Reason of a refusal or unknown outcome; empty for an answer. */
  readonly reason: string;
  readonly loads: readonly LoadSignal[];
  /** Bytes of the request and the reply bodies. */
  readonly bodyBytes: number;
}

/** Chooses among the instances of one service. */
export abstract class InstanceChooser {
  /** Chooses an instance; undefined when none may be used. */
  abstract choose(
    candidates: readonly MemberRecord[],
    options: ChoiceOptions,
  ): MemberRecord | undefined;

  /** An attempt at the instance begins. */
  abstract begin(instance: MemberRecord): void;

  /** An attempt at the instance has ended. */
  abstract end(instance: MemberRecord, report: AttemptReport): void;
}
