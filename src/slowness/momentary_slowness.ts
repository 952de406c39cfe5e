/**
 * Momentary slowness of one VM.
 *
 * A VM that shares its processor is slow for some hundred milliseconds at a
 * time, so the latest figure replaces the one before, without an average, and
 * its influence fades with its age.
 */

/** Age at which a figure has no influence left, in milliseconds; the usual length of a slow phase. */
const LIFETIME_MS = 600;

/** Bounds of a figure; a value outside is taken for a fault of the server. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 20;

/** Time without a figure after which the server no longer counts as one that states them, in milliseconds. */
const STATED_MS = 10_000;

/** A figure and its age. */
export interface StatedSlowness {
  /** How long work takes on the VM, relative to the usual duration. */
  readonly ratio: number;
  /** Time since the server stated it, in milliseconds. */
  readonly ageMs: number;
}

/** Latest slowness figure of a VM. */
export class MomentarySlowness {
  #ratio = 1;
  #statedAtMs = Number.NEGATIVE_INFINITY;

  /** Records a figure, unless a later one is known. */
  observe(ratio: number, statedAtMs: number): void {
    if (statedAtMs >= this.#statedAtMs) {
      this.#ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
      this.#statedAtMs = statedAtMs;
    }
  }

  /** Whether the server has stated a figure lately; without one, nothing that depends on figures acts. */
  isStated(nowMs: number): boolean {
    return nowMs - this.#statedAtMs <= STATED_MS;
  }

  /**
   * Expected duration of work that starts now, relative to the usual one. The
   * chance that a slow phase is still in progress falls evenly with the age of
   * the figure.
   */
  getRatio(nowMs: number): number {
    const ageMs = nowMs - this.#statedAtMs;
    return ageMs >= LIFETIME_MS
      ? 1
      : 1 + (this.#ratio - 1) * (1 - ageMs / LIFETIME_MS);
  }

  /** The figure and its age; undefined if it has no influence left. */
  read(nowMs: number): StatedSlowness | undefined {
    const ageMs = nowMs - this.#statedAtMs;
    return ageMs < LIFETIME_MS ? { ratio: this.#ratio, ageMs } : undefined;
  }
}
