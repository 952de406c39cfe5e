/**
 * Load of the instances of one failure domain, as the replies to this daemon
 * tell it.
 */

/** Weight of the latest period in the moving averages. */
const LATEST_WEIGHT = 0.6;

/** Weight of the latest period in the mean share of refused attempts, which varies widely from period to period. */
const REFUSED_WEIGHT = 0.3;

/** Weight of the latest period in the mean number of bytes, which changes slowly. */
const BYTES_WEIGHT = 0.1;

/** Replies from which on the load counts as known. */
const MIN_SAMPLES = 4;

/** Refusals or failures of one period from which on they count; fewer tell little where attempts are few. */
const MIN_COUNT = 2;

/** Periods without an attempt after which the load is forgotten; it is then unknown until the next reply. */
const MAX_EMPTY_PERIODS = 8;

/** Load, relative to that of the period before, below which it counts as falling. */
const FALLING_RATIO = 0.98;

/** Highest load that a reply counts with, so that a long queue, which drains by itself, does not count as that much demand. */
const MAX_SAMPLE_LOAD = 4;

/** Result of an attempt at an instance of the domain. */
export interface LoadSample {
  /** Running and waiting calls over the limit that the reply reports; undefined if it reports none. */
  readonly loadRatio: number | undefined;
  readonly isRefused: boolean;
  /** Whether the attempt failed for another reason than load. */
  readonly isFailed: boolean;
  /** Duration of an answered attempt, in milliseconds; undefined for others. */
  readonly durationMs: number | undefined;
  /** Size of request and response bodies, in bytes. */
  readonly bytes: number;
}

/** Moving averages over periods. */
export class DomainLoad {
  #loadRatio: number | undefined;
  #isFalling = false;
  #durationMs: number | undefined;
  #bytes = 0;
  #refusedRatio = 0;
  #failedRatio = 0;
  #meanRefusedRatio = 0;
  #emptyPeriods = 0;
  #knownSamples = 0;
  #attempts = 0;
  #refused = 0;
  #failed = 0;
  #loadSum = 0;
  #loadCount = 0;
  #durationSumMs = 0;
  #answered = 0;
  #byteSum = 0;

  /** Attempts of the current period whose replies reported a load. */
  get samples(): number {
    return this.#loadCount;
  }

  /** Whether attempts of the current period were refused because of load. */
  get isRefusing(): boolean {
    return this.#refused >= MIN_COUNT;
  }

  /** Running and waiting calls over the limit; undefined before the first reply. */
  get loadRatio(): number | undefined {
    return this.#loadRatio;
  }

  /** Whether the load was lower in the last period than in the one before. */
  get isFalling(): boolean {
    return this.#isFalling;
  }

  /** Duration of an answered attempt, in milliseconds; undefined before the first. */
  get durationMs(): number | undefined {
    return this.#durationMs;
  }

  /** Bytes of a call. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Whether the load is that of several replies. */
  get isKnown(): boolean {
    return this.#knownSamples >= MIN_SAMPLES;
  }

  /** Share of the attempts of the last period that were refused because of load. */
  get refusedRatio(): number {
    return this.#refusedRatio;
  }

  /** The same as a moving average. */
  get meanRefusedRatio(): number {
    return this.#meanRefusedRatio;
  }

  /** Share of the attempts of the last period that failed for another reason. */
  get failedRatio(): number {
    return this.#failedRatio;
  }

  /** Adds the result of an attempt. */
  record(sample: LoadSample): void {
    const { loadRatio, isRefused, isFailed, durationMs, bytes } = sample;
    this.#attempts += 1;
    this.#refused += Number(isRefused);
    this.#failed += Number(isFailed);
    if (loadRatio !== undefined) {
      this.#loadSum += Math.min(MAX_SAMPLE_LOAD, loadRatio);
      this.#loadCount += 1;
    }
    if (durationMs !== undefined) {
      this.#durationSumMs += durationMs;
      this.#byteSum += bytes;
      this.#answered += 1;
    }
  }

  /** Ends a period. */
  close(): void {
    this.#emptyPeriods = this.#attempts > 0 ? 0 : this.#emptyPeriods + 1;
    if (this.#emptyPeriods >= MAX_EMPTY_PERIODS) {
      this.forget();
    }
    if (this.#loadCount > 0) {
      this.#knownSamples += this.#loadCount;
      const mean = this.#loadSum / this.#loadCount;
      const previous = this.#loadRatio ?? 0;
      this.#loadRatio = average(this.#loadRatio, mean, LATEST_WEIGHT);
      this.#isFalling = this.#loadRatio < previous * FALLING_RATIO;
    }
    if (this.#answered > 0) {
      const meanMs = this.#durationSumMs / this.#answered;
      this.#durationMs = average(this.#durationMs, meanMs, LATEST_WEIGHT);
      const meanBytes = this.#byteSum / this.#answered;
      this.#bytes = average(this.#bytes || undefined, meanBytes, BYTES_WEIGHT);
    }
    this.#refusedRatio = computeRatio(this.#refused, this.#attempts);
    this.#meanRefusedRatio = average(
      this.#meanRefusedRatio,
      this.#refusedRatio,
      REFUSED_WEIGHT,
    );
    this.#failedRatio = computeRatio(this.#failed, this.#attempts);
    this.#attempts = this.#refused = this.#failed = 0;
    this.#loadSum = this.#loadCount = 0;
    this.#durationSumMs = this.#answered = this.#byteSum = 0;
  }

  /** Forgets the load, which is then unknown until the next reply. */
  forget(): void {
    this.#loadRatio = undefined;
    this.#knownSamples = 0;
    this.#durationMs = undefined;
  }
}

function computeRatio(count: number, attempts: number): number {
  return count < MIN_COUNT ? 0 : count / attempts;
}

function average(
  averaged: number | undefined,
  latest: number,
  weight: number,
): number {
  return averaged === undefined
    ? latest
    : averaged + weight * (latest - averaged);
}
