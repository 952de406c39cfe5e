/**
 * Wakes the queue of a backend server when the pace lets the next call pass.
 */

import type { Clock } from "../time/mod.ts";
import type { RequestPacer } from "./request_pacer.ts";

/** Dependencies of the timer. */
export interface PaceTimerOptions {
  readonly clock: Clock;
  readonly pacer: RequestPacer;
  /** Calls that wait. */
  readonly queue: { readonly length: number };
  /** Called when the next call may pass. */
  readonly onOpen: () => void;
}

/** One timer for the call that is next. */
export class PaceTimer {
  readonly #options: PaceTimerOptions;
  #cancel: (() => void) | undefined;

  constructor(options: PaceTimerOptions) {
    this.#options = options;
  }

  /** Sets the timer if calls wait for the pace; otherwise cancels it. */
  update(): void {
    const { clock, onOpen, pacer, queue } = this.#options;
    this.#cancel?.();
    this.#cancel = undefined;
    if (queue.length > 0 && !pacer.isOpen) {
      this.#cancel = clock.schedule(pacer.delayMs, onOpen);
    }
  }
}
