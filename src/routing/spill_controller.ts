/**
 * Share of the calls to one service that leave the failure domain, by the domain
 * that they go to.
 *
 * A few times a second the share is corrected by what replies said of the load
 * of the instances of this domain, so that these stay nearly full and calls
 * beyond that go elsewhere. Comparing instances for each call instead lets calls
 * leave whenever a near instance happens to be busy, and lets two domains send
 * to each other.
 */

import type { Clock } from "../time/mod.ts";
import { computeShareChange } from "./compute_share_change.ts";
import { computeSpillGain } from "./compute_spill_gain.ts";
import { DomainLoad } from "./domain_load.ts";
import type { LoadSample } from "./domain_load.ts";
import { OverflowGate } from "./overflow_gate.ts";
import { SpillDirection } from "./spill_direction.ts";
import type { SpillTarget } from "./spill_direction.ts";

/** Shortest and longest time between two corrections, in milliseconds; in between, this many replies are awaited. */
const MIN_STEP_MS = 250;
const MAX_STEP_MS = 1_000;
const MIN_SAMPLES = 5;

/** Time after which a correction is due while no calls leave and the own domain refuses some, in milliseconds. */
const FIRST_STEP_MS = 100;

/** Load of the own domain below which it clearly has room. */
const ROOMY_LOAD = 0.7;

/** Load of the own domain from which calls start to leave. */
const START_LOAD = 1;

/** Time for which leaving must pay before calls start to leave the region, in milliseconds. */
const REGION_START_MS = 1_000;

/** Further time for the domain of two whose name is the greater, in milliseconds, so that two full domains do not start at the same time. */
const LATE_START_MS = 500;

/** Most calls that may leave in a row; more are not saved up while the instances of the domain are not busy, but leave then. */
const MAX_CREDIT = 3;

/** Share below which no calls leave. */
const MIN_SHARE = 0.02;

/** Time for which a failure in the own domain lets calls leave that were tried there, in milliseconds. */
const FAILURE_MS = 2_000;

/** Change of a share, with the figures behind it. */
export interface SpillChange {
  readonly service: string;
  readonly domain: string;
  readonly from: number;
  readonly to: number;
  readonly ownLoad: number;
  readonly otherLoad: number;
  readonly cause: string;
}

/** Dependencies of a controller. */
export interface SpillControllerOptions {
  readonly clock: Clock;
  readonly service: string;
  readonly ownDomain: string;
  readonly reportChange: (change: SpillChange) => void;
}

/** Controls the shares of one service. */
export class SpillController {
  /** Calls that leave until the shares follow the demand. */
  readonly overflow: OverflowGate;
  readonly #options: SpillControllerOptions;
  readonly #own = new DomainLoad();
  readonly #directions = new Map<string, SpillDirection>();
  #steppedAtMs: number;
  /** When calls last began to leave, in monotonic milliseconds; the time of the last correction while none do. */
  #startedAtMs = 0;
  /** Calls that may leave. */
  #credit = 0;
  #ownFailedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: SpillControllerOptions) {
    this.#options = options;
    this.overflow = new OverflowGate(options.clock);
    this.#steppedAtMs = options.clock.monotonicMs();
  }

  /** Whether calls leave the domain at present. */
  get isActive(): boolean {
    return this.#spilledShare > 0;
  }

  /** Whether attempts in the own domain failed lately for other reasons than load. */
  get isOwnDomainFailing(): boolean {
    return this.#nowMs - this.#ownFailedAtMs <= FAILURE_MS;
  }

  /** Whether a correction is due. */
  get isDue(): boolean {
    const elapsedMs = this.#nowMs - this.#steppedAtMs;
    return elapsedMs >= MIN_STEP_MS
      ? this.#own.samples >= MIN_SAMPLES || elapsedMs >= MAX_STEP_MS
      : elapsedMs >= FIRST_STEP_MS && this.#own.isRefusing && !this.isActive;
  }

  /** Records the result of an attempt at an instance of a domain. */
  record(domain: string, sample: LoadSample): void {
    if (domain === this.#options.ownDomain) {
      this.#own.record(sample);
      this.#ownFailedAtMs = sample.isFailed ? this.#nowMs : this.#ownFailedAtMs;
    } else {
      this.#directions.get(domain)?.load.record(sample);
    }
  }

  /** Records that instances of the own domain run calls that have left other domains. */
  recordReceipts(domains: readonly string[]): void {
    for (const domain of domains) {
      const direction = this.#directions.get(domain);
      if (direction) {
        direction.receivedAtMs = this.#nowMs;
        this.#setShare(direction, 0, "receives");
      }
    }
  }

  /**
   * Chooses whether a call leaves, and where to. Of the calls that the share
   * allows, those leave for which the instances of the domain are busy.
   *
   * @param isBusy - Whether the best instance of the domain is nearly full
   * @param sample - Random number in [0, 1)
   * @returns The domain, or undefined if the call stays
   */
  choose(isBusy: boolean, sample: number): string | undefined {
    const left = this.#spilledShare;
    this.#credit = Math.min(MAX_CREDIT, this.#credit + left);
    const threshold = isBusy ? 1 : MAX_CREDIT;
    if (left === 0 || this.#credit < threshold) {
      return undefined;
    }
    this.#credit -= 1;
    let sum = 0;
    for (const { share, target } of this.#directions.values()) {
      sum += share / left;
      if (sample < sum) {
        return target.domain;
      }
    }
    return undefined;
  }

  /**
   * Corrects the shares.
   *
   * @param targets - The other domains that have instances of the service
   * @param targetLatencyMs - Latency that calls aim for, in milliseconds; 0 if unknown
   */
  step(targets: readonly SpillTarget[], targetLatencyMs: number): void {
    const elapsedMs = this.#nowMs - this.#steppedAtMs;
    this.#steppedAtMs = this.#nowMs;
    this.#setTargets(targets);
    this.#own.close();
    for (const direction of this.#directions.values()) {
      direction.load.close();
      const correction = direction.check(this.#nowMs);
      if (correction) {
        this.#setShare(direction, correction.share, correction.cause);
      }
    }
    if (this.#own.loadRatio === undefined) {
      return;
    }
    const left = this.#spilledShare;
    const change = computeShareChange(this.#own, {
      left,
      loadRatio: this.#own.loadRatio,
      leavingForMs: this.#nowMs - this.#startedAtMs,
    });
    this.#extend(Math.max(0, change), targetLatencyMs);
    if (change < 0) {
      // With few calls corrections are rare, but calls return as soon.
      const periods = this.#own.loadRatio < ROOMY_LOAD
        ? Math.min(MAX_STEP_MS, elapsedMs) / MIN_STEP_MS
        : 1;
      this.#withdraw(left, Math.min(left, -change * periods));
    }
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  get #spilledShare(): number {
    let sum = 0;
    for (const { share } of this.#directions.values()) {
      sum += share;
    }
    return sum;
  }

  /** Brings calls back, from all domains in proportion. */
  #withdraw(left: number, change: number): void {
    for (const direction of this.#directions.values()) {
      if (direction.share > 0) {
        const share = direction.share * (1 - change / left);
        this.#setShare(direction, share < MIN_SHARE ? 0 : share, "room");
      }
    }
  }

  /** Sends more calls to the domain with the most room. */
  #extend(change: number, targetLatencyMs: number): void {
    const isStarting = !this.isActive;
    if (isStarting) {
      this.#startedAtMs = this.#nowMs;
    }
    let best: SpillDirection | undefined;
    for (const direction of this.#directions.values()) {
      const isWanted = direction.isOpen(this.#nowMs) &&
        (direction.share > 0 || this.#pays(direction, targetLatencyMs));
      direction.wantedSinceMs = isWanted
        ? Math.min(direction.wantedSinceMs, this.#nowMs)
        : Number.POSITIVE_INFINITY;
      const isReady = direction.share > 0 ||
        this.#nowMs - direction.wantedSinceMs >=
          this.#computeStartMs(direction);
      if (isReady && isWanted && (!best || direction.precedes(best))) {
        best = direction;
      }
    }
    if (best && change > 0) {
      const cause = isStarting ? "full" : "load";
      this.#setShare(best, best.share + Math.max(change, MIN_SHARE), cause);
    }
  }

  #computeStartMs({ target }: SpillDirection): number {
    return (target.isOwnRegion ? 0 : REGION_START_MS) +
      (this.#options.ownDomain < target.domain ? 0 : LATE_START_MS);
  }

  #pays({ target, load }: SpillDirection, targetLatencyMs: number): boolean {
    const { loadRatio = 0 } = this.#own;
    const isFull = loadRatio >= START_LOAD || this.#own.refusedRatio > 0;
    return isFull &&
      computeSpillGain({ own: this.#own, other: load, target }, {
          targetLatencyMs,
        }) > 0;
  }

  #setTargets(targets: readonly SpillTarget[]): void {
    for (const [domain, direction] of this.#directions) {
      if (!targets.some((target) => target.domain === domain)) {
        this.#setShare(direction, 0, "gone");
        this.#directions.delete(domain);
      }
    }
    for (const target of targets) {
      if (!this.#directions.has(target.domain)) {
        this.#directions.set(target.domain, new SpillDirection(target));
      }
    }
  }

  #setShare(direction: SpillDirection, share: number, cause: string): void {
    const { share: from, load, target: { domain } } = direction;
    if (share === from) {
      return;
    }
    direction.share = share;
    const { service, reportChange } = this.#options;
    reportChange({
      ...{ service, domain, from, to: share, cause },
      ownLoad: this.#own.loadRatio ?? 0,
      otherLoad: load.loadRatio ?? 0,
    });
  }
}
