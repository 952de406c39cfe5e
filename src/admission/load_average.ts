/**
 * Time-weighted average of the load of the backend server.
 *
 * A single reply tells the load of one moment, which varies widely with few
 * slots. The average lets a daemon that gets few replies judge the load of an
 * instance.
 */

/** Time constant of the average, in milliseconds: about the time between two corrections of what depends on it. */
const TIME_CONSTANT_MS = 300;

/** Average of running and waiting calls over the concurrency limit. */
export class LoadAverage {
  #average = 0;
  #latest = 0;
  #updatedAtMs = 0;

  /** Records the load from now on. */
  set(loadRatio: number, nowMs: number): void {
    this.#average = this.read(nowMs);
    this.#updatedAtMs = nowMs;
    this.#latest = loadRatio;
  }

  /** Reads the average. */
  read(nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    return elapsedMs <= 0 ? this.#average : this.#latest +
      (this.#average - this.#latest) * Math.exp(-elapsedMs / TIME_CONSTANT_MS);
  }
}
