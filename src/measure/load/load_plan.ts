/**
 * What a run of open-loop load consists of.
 */

import type { TestCaller } from "../../testing/test_caller.ts";

/** A part of a run with one arrival rate. */
export interface LoadPhase {
  readonly name: string;
  readonly durationMs: number;
  /** Requests that begin each second, whatever became of earlier ones. */
  readonly requestsPerSecond: number;
}

/** A kind of request that callers make. */
export interface RequestKind {
  readonly name: string;
  readonly className: string;
  /** Share of all requests, relative to the other kinds. */
  readonly weight: number;
  readonly service: string;
  readonly method: "GET" | "POST";
  /** Path of the request; a number is added behind it. */
  readonly pathPrefix: string;
  readonly isRepeatable: boolean;
}

/** How callers act when a request is not answered. */
export interface CallerBehavior {
  /** Time after which an answer is of no use any more, in milliseconds. */
  readonly deadlineMs: number;
  /** Time after which one attempt is given up, in milliseconds. */
  readonly attemptTimeoutMs: number;
  /** Attempts of one request, the first included. */
  readonly maxAttempts: number;
  /** Pause before another attempt, in milliseconds. */
  readonly backoffMs: number;
  /** Whether a suggested wait is kept. */
  readonly honorsRetryAfter: boolean;
}

/** A run of open-loop load. */
export interface LoadPlan {
  readonly phases: readonly LoadPhase[];
  readonly kinds: readonly RequestKind[];
  readonly behavior: CallerBehavior;
  /** Base URLs that requests enter at, each as likely. */
  readonly entryUrls: readonly string[];
  readonly memberCount: number;
  readonly randomSeed: number;
  /** Put before each request id, so that runs in one fleet differ. */
  readonly requestIdPrefix: string;
  /** Length of the periods that are counted apart, in milliseconds. */
  readonly bucketMs: number;
  /** Caller that sends the requests; a new one when left out. */
  readonly caller?: TestCaller;
  /** Called when a phase begins. */
  readonly onPhase?: (phase: LoadPhase) => void | Promise<void>;
}
