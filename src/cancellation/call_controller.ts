/**
 * Controller that cancels calls, a lightweight `AbortController`.
 */

import type { CallSignal } from "./call_signal.ts";

/** A signal that invokes its listeners once, in the order of registration. */
class ControlledSignal implements CallSignal {
  aborted = false;
  reason: unknown;
  #listeners: Set<() => void> | undefined;

  addEventListener(_type: "abort", listener: () => void): void {
    if (!this.aborted) {
      this.#listeners ??= new Set();
      this.#listeners.add(listener);
    }
  }

  removeEventListener(_type: "abort", listener: () => void): void {
    this.#listeners?.delete(listener);
  }

  abort(reason: unknown): void {
    if (this.aborted) {
      return;
    }
    this.aborted = true;
    this.reason = reason;
    const listeners = this.#listeners;
    this.#listeners = undefined;
    listeners?.forEach((listener) => listener());
  }
}

/**
 * Aborts a call through its signal.
 *
 * @example
 * const controller = new CallController();
 * const cancelDeadline = clock.schedule(remainingMs, () => controller.abort(REASONS.deadlineExpired));
 */
export class CallController {
  readonly #signal = new ControlledSignal();

  /** Signal that is aborted when the call ends early. */
  get signal(): CallSignal {
    return this.#signal;
  }

  /** Aborts the call with a reason. Has no effect once the call is aborted. */
  abort(reason?: unknown): void {
    this.#signal.abort(reason);
  }

  /**
   * Aborts the call when another signal is aborted, with the same reason.
   *
   * @param other - Signal to follow
   * @returns A function that stops following the signal
   */
  follow(other: CallSignal): () => void {
    const abort = () => this.abort(other.reason);
    if (other.aborted) {
      abort();
      return () => undefined;
    }
    other.addEventListener("abort", abort);
    return () => other.removeEventListener("abort", abort);
  }
}
