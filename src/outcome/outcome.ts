/**
 * The three outcomes of a call: answered whole, refused and not run, or unknown.
 *
 * An answer is the `Ok` side of a `Result`; the other two are its `Err` side.
 */

import type { Result } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";

/** Machine-readable reasons of refusals and unknown outcomes. */
export const REASONS = {
  overloadedEntry: "overloaded-entry",
  overloadedInstance: "overloaded-instance",
  overloadedService: "overloaded-service",
  queueExpired: "queue-expired",
  deadlineExpired: "deadline-expired",
  cancelled: "cancelled",
  noInstance: "no-instance",
  noBackendServer: "no-backend-server",
  leaving: "leaving",
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
  answerTruncated: "answer-truncated",
  answerMismatched: "answer-mismatched",
  backendRefused: "backend-refused",
  linkBudget: "link-budget",
  notReady: "not-ready",
} as const;

/** One of {@link REASONS}. */
export type Reason = (typeof REASONS)[keyof typeof REASONS];

/** A whole answer of a backend server. */
export interface Answer {
  readonly status: number;
  readonly contentType: string;
  /** End-to-end header fields, names and values by turns, where callers get them all. */
  readonly headers?: readonly string[];
  readonly body: Uint8Array;
  readonly unusedAllowance: number;
  /** Whether a hop further down has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** A refusal: this attempt ran nowhere. */
export interface Refusal {
  readonly kind: "refused";
  readonly reason: Reason;
  readonly retryAfterMs: number;
  readonly unusedAllowance: number;
  /** Whether a hop further down has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** An outcome that cannot be told: the attempt may have run. */
export interface UnknownOutcome {
  readonly kind: "unknown";
  readonly reason: Reason;
  readonly unusedAllowance: number;
  /** Whether a hop further down has already given up retrying. */
  readonly isGivenUp?: boolean;
  readonly loads: readonly LoadSignal[];
}

/** What a call ends in when it is not answered. */
export type CallFailure = Refusal | UnknownOutcome;

/** The outcome of a call. */
export type CallResult = Result<Answer, CallFailure>;
