/**
 * Types that describe open-loop load and the behavior of its callers.
 */

import type { TestCaller } from "../../testing/test_caller.ts";

/** Phase of a run with a constant mean arrival rate. */
export interface LoadPhase {
  readonly name: string;
  readonly durationMs: number;
  /** Mean arrival rate, independent of the outcomes of earlier requests. */
  readonly requestsPerSecond: number;
}

/** Kind of request that callers send. */
export interface RequestKind {
  readonly name: string;
  readonly className: string;
  /** Relative frequency of this kind. */
  readonly weight: number;
  readonly service: string;
  readonly method: "GET" | "POST";
  /** Path of the request, to which the request number is appended. */
  readonly pathPrefix: string;
  readonly isRepeatable: boolean;
}

/** Timeouts and retry policy of the callers. */
export interface CallerBehavior {
  /** Deadline of a request, after which a response is useless, in milliseconds. */
  readonly deadlineMs: number;
  /** Timeout of a single attempt, in milliseconds. */
  readonly attemptTimeoutMs: number;
  /** Maximum number of attempts at a request, including the first. */
  readonly maxAttempts: number;
  /** Delay before a retry, in milliseconds. */
  readonly backoffMs: number;
  /** Whether retries wait for at least the delay that a refusal suggests. */
  readonly honorsRetryAfter: boolean;
}

/** Plan of a run of open-loop load. */
export interface LoadPlan {
  readonly phases: readonly LoadPhase[];
  readonly kinds: readonly RequestKind[];
  readonly behavior: CallerBehavior;
  /** Base URLs of the caller ports; each request picks one with equal probability. */
  readonly entryUrls: readonly string[];
  /** Number of distinct members that the requests are sent for. */
  readonly memberCount: number;
  readonly randomSeed: number;
  /** Prefix of the request ids; keeps several runs on one fleet apart. */
  readonly requestIdPrefix: string;
  /** Length of the time buckets in the report, in milliseconds. */
  readonly bucketMs: number;
  /** Caller that sends the requests and is closed afterwards; a new one by default. */
  readonly caller?: TestCaller;
  /** Called, and awaited, when a phase begins. */
  readonly onPhase?: (phase: LoadPhase) => void | Promise<void>;
}
