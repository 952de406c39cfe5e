/**
 * Measures the share of time in which slots were free while no call waited.
 */

/** Share of the time above which slots count as idle. */
const IDLE_RATIO = 0.25;

/** Measures idle time between two readings. */
export class IdleMeter {
  #isIdle = true;
  #changedAtMs = 0;
  #readAtMs = 0;
  #idleMs = 0;

  /** Sets the current state. */
  set(isIdle: boolean, nowMs: number): void {
    this.#idleMs += this.#isIdle ? nowMs - this.#changedAtMs : 0;
    this.#isIdle = isIdle;
    this.#changedAtMs = nowMs;
  }

  /** Returns whether slots were idle since the last reading, and starts the next interval. */
  read(nowMs: number): boolean {
    this.set(this.#isIdle, nowMs);
    const elapsedMs = nowMs - this.#readAtMs;
    const isIdle = this.#idleMs > elapsedMs * IDLE_RATIO;
    this.#readAtMs = nowMs;
    this.#idleMs = 0;
    return isIdle;
  }
}
