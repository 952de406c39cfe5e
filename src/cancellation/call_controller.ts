/**
 * Ends calls.
 */

import type { CallSignal } from "./call_signal.ts";

/** A signal whose listeners are plain functions, told once and in order. */
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

  end(reason: unknown): void {
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
 * Ends a call through its signal.
 *
 * @example
 * const controller = new CallController();
 * const cancelDeadline = clock.schedule(remainingMs, () => controller.abort(REASONS.deadlineExpired));
 */
export class CallController {
  readonly #signal = new ControlledSignal();

  /** What the call's parts listen to. */
  get signal(): CallSignal {
    return this.#signal;
  }

  /** Ends the call; later reasons count for nothing. */
  abort(reason?: unknown): void {
    this.#signal.end(reason);
  }

  /** Ends the call when another signal does; the result stops that. */
  follow(other: CallSignal): () => void {
    const end = () => this.abort(other.reason);
    if (other.aborted) {
      end();
      return () => undefined;
    }
    other.addEventListener("abort", end);
    return () => other.removeEventListener("abort", end);
  }
}
