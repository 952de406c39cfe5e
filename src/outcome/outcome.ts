/**
 * The three outcomes of a call: answered completely, refused without being
 * executed, or unknown.
 *
 * An answer is the `Ok` value of a `Result`; the other two are `Err` values.
 */

import type { Result } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";

/** Machine-readable reasons of refusals and unknown outcomes. */
export const REASONS = {
  overloadedEntry: "overloaded-entry",
  overloadedInstance: "overloaded-instance",
  overloadedService: "overloaded-service",
  limitedInstance: "limited-instance",
  limitedService: "limited-service",
  slowInstance: "slow-instance",
  memoryFull: "memory-full",
  queueExpired: "queue-expired",
  deadlineExpired: "deadline-expired",
  cancelled: "cancelled",
  noInstance: "no-instance",
  noBackendServer: "no-backend-server",
  leaving: "leaving",
  daemonLate: "daemon-late",
  daemonStopping: "daemon-stopping",
  connectFailed: "connect-failed",
  connectionLost: "connection-lost",
  backendFailed: "backend-failed",
  unknownService: "unknown-service",
  unknownRequest: "unknown-request",
  invalidRequest: "invalid-request",
  bodyTooLarge: "body-too-large",
  headersTooLarge: "headers-too-large",
  tooDeep: "too-deep",
  keyRequired: "key-required",
  keyInvalid: "key-invalid",
  keyExpired: "key-expired",
  keyHolderGone: "key-holder-gone",
  keyLedgerFull: "key-ledger-full",
  answerDropped: "answer-dropped",
  notStarted: "not-started",
  runForgotten: "run-forgotten",
  parentRepeatable: "parent-repeatable",
  parentEnded: "parent-ended",
  answerTooLarge: "answer-too-large",
  answerTruncated: "answer-truncated",
  answerMismatched: "answer-mismatched",
  backendRefused: "backend-refused",
  linkBudget: "link-budget",
  notReady: "not-ready",
  quarantined: "quarantined",
  unauthorized: "unauthorized",
  overAllowance: "over-allowance",
} as const;

/** One of {@link REASONS}. */
export type Reason = (typeof REASONS)[keyof typeof REASONS];

/** A complete answer of a backend server. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  /** End-to-end header fields as alternating names and values, where callers receive all of them. */
  readonly headers?: readonly string[];
  readonly body: Uint8Array;
  /** Unused part of the retry allowance, in attempts. */
  readonly unusedAllowance: number;
  /** Whether a downstream hop has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** A refusal: the attempt was not executed. */
export interface Refusal {
  readonly kind: "refused";
  readonly reason: Reason;
  /** Reason of the last attempt at an instance, if the call failed because none was left to try. */
  readonly triedReason?: Reason;
  /** Suggested retry delay, in milliseconds; 0 if there is none. */
  readonly retryAfterMs: number;
  /** Unused part of the retry allowance, in attempts. */
  readonly unusedAllowance: number;
  /** Whether a downstream hop has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** An unknown outcome: the attempt may have been executed. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly reason: Reason;
  /** Reason of the last attempt at an instance, if the call failed because none was left to try. */
  readonly triedReason?: Reason;
  /** Unused part of the retry allowance, in attempts. */
  readonly unusedAllowance: number;
  /** Whether a downstream hop has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** The outcome of a call that was not answered. */
export type CallFailure = Refusal | UnknownOutcome;

/** The outcome of a call. */
export type CallResult = Result<Answer, CallFailure>;
