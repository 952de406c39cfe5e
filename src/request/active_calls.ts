/**
 * Registry of the calls that this VM's backend server is running.
 *
 * A backend server passes the token of its running call when it calls other
 * services, so that the nested call inherits deadline, class, retry allowance
 * and cancellation.
 */

import { randomBytes } from "node:crypto";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import { RetryAllowance } from "../retry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { NestedCallTimer } from "./nested_call_timer.ts";

/** A call that the backend server is running. */
export interface ActiveCall {
  readonly token: string;
  readonly context: CallContext;
  /** Deadline, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: CallSignal;
  /** Retries that the nested calls, at any depth, may still make. */
  readonly allowance: RetryAllowance;
  /** Services that the call has already called. */
  readonly calledServices: Set<string>;
  /** Service of the first nested call that failed after its last attempt; undefined if none has. */
  failedService: string | undefined;
  /** Results of the non-repeatable nested calls, by derived idempotency key. */
  readonly nestedCalls: Map<string, Promise<CallResult>>;
  /** Measures the time during which the call waits for nested calls. */
  readonly nestedCallTimer: NestedCallTimer;
}

/** Length of the random token prefix that distinguishes processes, in bytes. */
const TOKEN_RANDOM_BYTES = 9;

/** Tracks running calls by token. */
export class ActiveCalls {
  readonly #clock: Clock;
  readonly #calls = new Map<string, ActiveCall>();
  readonly #prefix = randomBytes(TOKEN_RANDOM_BYTES).toString("base64url");
  #nextToken = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of running calls. */
  get count(): number {
    return this.#calls.size;
  }

  /** Registers a call that starts to run, under the given token or a generated one. */
  begin(
    context: CallContext,
    signal: CallSignal,
    token = this.#createToken(),
  ): ActiveCall {
    const deadlineAtMs = this.#clock.monotonicMs() + context.remainingMs;
    const call = {
      token,
      context,
      deadlineAtMs,
      signal,
      allowance: new RetryAllowance(context.retryAllowance),
      calledServices: new Set<string>(),
      failedService: undefined,
      nestedCalls: new Map(),
      nestedCallTimer: new NestedCallTimer(this.#clock),
    };
    this.#calls.set(token, call);
    return call;
  }

  /** Removes a call that has ended, unless its token has been registered anew. */
  end(call: ActiveCall): void {
    if (this.#calls.get(call.token) === call) {
      this.#calls.delete(call.token);
    }
  }

  /** Returns the running call with a token, if any. */
  find(token: string): ActiveCall | undefined {
    return this.#calls.get(token);
  }

  #createToken(): string {
    const number = this.#nextToken;
    this.#nextToken += 1;
    return `${this.#prefix}.${number}`;
  }
}
