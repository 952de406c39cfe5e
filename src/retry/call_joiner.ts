/**
 * Request coalescing: a caller that sends a repeatable request again while the
 * first one is in progress waits for the same outcome.
 */

import { CallController } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import type { CallResult } from "../outcome/mod.ts";

/** Maximum number of joinable calls per daemon; calls beyond it run on their own. */
export const MAX_JOINABLE_CALLS = 20_000;

interface JoinableCall {
  readonly result: Promise<CallResult>;
  readonly controller: CallController;
  waiters: number;
}

/** Joinable calls in progress, by join key. */
export class CallJoiner {
  readonly #calls = new Map<string, JoinableCall>();
  readonly #maxCalls: number;

  constructor(maxCalls: number) {
    this.#maxCalls = maxCalls;
  }

  /** Number of joinable calls. */
  get size(): number {
    return this.#calls.size;
  }

  /** Joins a call in progress; returns undefined if there is none. */
  join(key: string, signal: CallSignal): Promise<CallResult> | undefined {
    const call = this.#calls.get(key);
    if (!call || call.controller.signal.aborted) {
      return undefined;
    }
    this.#addWaiter(call, signal);
    return call.result;
  }

  /** Starts a call that duplicates may join; it is cancelled when all its waiters are. */
  start(
    key: string,
    signal: CallSignal,
    run: (signal: CallSignal) => Promise<CallResult>,
  ): Promise<CallResult> {
    if (this.#calls.size >= this.#maxCalls) {
      return run(signal);
    }
    const controller = new CallController();
    const result = run(controller.signal);
    const call = { result, controller, waiters: 0 };
    this.#calls.set(key, call);
    this.#addWaiter(call, signal);
    void result.finally(() => this.#remove(key, call));
    return result;
  }

  #addWaiter(call: JoinableCall, signal: CallSignal): void {
    call.waiters += 1;
    const removeWaiter = () => {
      call.waiters -= 1;
      if (call.waiters === 0) {
        call.controller.abort();
      }
    };
    if (signal.aborted) {
      removeWaiter();
      return;
    }
    signal.addEventListener("abort", removeWaiter);
  }

  #remove(key: string, call: JoinableCall): void {
    if (this.#calls.get(key) === call) {
      this.#calls.delete(key);
    }
  }
}
