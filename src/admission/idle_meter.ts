/**
 * Share of time for which slots were free while nothing waited.
 */

/** Share of the time from which slots count as idle. */
const IDLE_RATIO = 0.25;

/** Measures idle time between two readings. */
export class IdleMeter {
  #isIdle = true;
  #changedAtMs = 0;
  #readAtMs = 0;
  #idleMs = 0;

  /** Takes the present state. */
  set(isIdle: boolean, nowMs: number): void {
    this.#idleMs += this.#isIdle ? nowMs - this.#changedAtMs : 0;
    this.#isIdle = isIdle;
    this.#changedAtMs = nowMs;
  }

  /** Whether slots were idle since the last reading, which this one ends. */
  read(nowMs: number): boolean {
    this.set(this.#isIdle, nowMs);
    const elapsedMs = nowMs - this.#readAtMs;
    const isIdle = this.#idleMs > elapsedMs * IDLE_RATIO;
    this.#readAtMs = nowMs;
    this.#idleMs = 0;
    return isIdle;
  }
}
