/**
 * The calls that this VM's backend server is running.
 *
 * A backend server names its running call when it calls deeper services, so
 * that deadline, class, allowance and cancellation are handed down.
 */

import { randomBytes } from "node:crypto";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallContext } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import { RetryAllowance } from "../retry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { NestedTime } from "./nested_time.ts";

/** A call that is running on the backend server. */
export interface ActiveCall {
  readonly token: string;
  readonly context: CallContext;
  /** When the deadline passes, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: CallSignal;
  /** Extra attempts that the call's subtree may still make. */
  readonly allowance: RetryAllowance;
  /** Services that the call has called. */
  readonly calledServices: Set<string>;
  /** Whether a nested call has failed for good. */
  hasFailedBelow: boolean;
  /** Non-repeatable calls that the running call has made, by their derived keys. */
  readonly children: Map<string, Promise<CallResult>>;
  /** Time in which the call waited for deeper calls. */
  readonly nestedTime: NestedTime;
}

/** Random bytes that set the tokens of one process apart from those of others. */
const TOKEN_RANDOM_BYTES = 9;

/** Remembers running calls by their token. */
export class ActiveCalls {
  readonly #clock: Clock;
  readonly #calls = new Map<string, ActiveCall>();
  readonly #prefix = randomBytes(TOKEN_RANDOM_BYTES).toString("base64url");
  #nextToken = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls that are running. */
  get count(): number {
    return this.#calls.size;
  }

  /** Adds a call that starts to run, under the given token or one of its own. */
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
      hasFailedBelow: false,
      children: new Map(),
      nestedTime: new NestedTime(this.#clock),
    };
    this.#calls.set(token, call);
    return call;
  }

  /** Removes a call that has ended. */
  end(call: ActiveCall): void {
    if (this.#calls.get(call.token) === call) {
      this.#calls.delete(call.token);
    }
  }

  /** Finds a running call. */
  find(token: string): ActiveCall | undefined {
    return this.#calls.get(token);
  }

  #createToken(): string {
    const number = this.#nextToken;
    this.#nextToken += 1;
    return `${this.#prefix}.${number}`;
  }
}
