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
import { computeSpillGain } from "./compute_spill_gain.ts";
import { DomainLoad } from "./domain_load.ts";
import type { LoadSample } from "./domain_load.ts";

/** Shortest and longest time between two corrections, in milliseconds; in between, this many replies are awaited. */
const MIN_STEP_MS = 250;
const MAX_STEP_MS = 1_000;
const MIN_SAMPLES = 5;

/** Time after which a correction is due while no calls leave and the own domain refuses some, in milliseconds. */
const FIRST_STEP_MS = 100;

/**
 * The share that leaves is led towards `SHARE_PER_LOAD` times the load of the
 * own domain above `KEPT_LOAD`, so that its instances stay nearly full with
 * little queueing. All daemons of a domain see the same load, so their shares
 * approach each other; if each added up its own corrections, some would drift to
 * 0 and others to all.
 */
const KEPT_LOAD = 0.85;
const SHARE_PER_LOAD = 3;

/** Part of the way to the aimed share that one correction goes; the load that replies report lags behind the share by about two corrections. */
const DAMPING = 0.03;

/** The same while calls return, so that they do not leave for longer than needed. */
const RETURN_DAMPING = 0.06;

/** Load of the own domain below which it clearly has room. */
const ROOMY_LOAD = 0.7;

/** Load of the own domain from which calls start to leave. */
const START_LOAD = 1;

/** Time for which leaving must pay before calls start to leave the region, in milliseconds. */
const REGION_START_MS = 1_000;

/** Further time for the domain of two whose name is the greater, in milliseconds, so that two full domains do not start at the same time. */
const LATE_START_MS = 500;

/** Load that corrections go by at most; a longer queue drains by itself and does not mean more demand. */
const MAX_LOAD = 1.25;

/** Largest rise at one of the first corrections, by the share of the calls that the own domain refuses. */
const MAX_FIRST_RISE = 0.2;

/** Rise at one of the first corrections while the load is above the highest that corrections go by. */
const FIRST_RISE = 0.08;

/** Time for which corrections are the first ones, in milliseconds. */
const FIRST_RISES_MS = 600;

/** Most calls that may leave in a row; more are not saved up while the instances of the domain are not busy, but leave then. */
const MAX_CREDIT = 3;

/** Share below which no calls leave. */
const MIN_SHARE = 0.02;

/** Largest share of the calls that leaves the domain. */
const MAX_SHARE = 0.8;

/** Load of another domain from which its share is reduced, and from which it counts as full; the rest is reserved for its own traffic. */
const ROOM_LOAD = 0.9;
const FULL_LOAD = 1.5;

/** Part of its share that a domain without room loses at one correction. */
const ROOM_DAMPING = 0.5;

/** Ratio of failed and refused calls from which another domain gets none. */
const MAX_FAILED_RATIO = 0.3;
const MAX_REFUSED_RATIO = 0.3;

/** Bounds of the time for which a domain that failed or was full gets no calls, in milliseconds. */
const MIN_BACKOFF_MS = 2_000;
const MAX_BACKOFF_MS = 30_000;

/** Time for which calls that arrived from another domain prevent calls to it, in milliseconds. */
const RECEIPT_MS = 3_000;

/** Time for which a failure in the own domain lets calls leave that were tried there, in milliseconds. */
const FAILURE_MS = 2_000;

/** Another failure domain with instances of the service. */
export interface SpillTarget {
  readonly domain: string;
  readonly isOwnRegion: boolean;
  /** Assumed network round-trip time, in milliseconds. */
  readonly networkLatencyMs: number;
}

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

interface Direction {
  readonly target: SpillTarget;
  readonly load: DomainLoad;
  share: number;
  blockedUntilMs: number;
  backoffMs: number;
  receivedAtMs: number;
  /** Since when leaving to it has paid, in monotonic milliseconds; infinite while it does not. */
  wantedSinceMs: number;
}

/** Controls the shares of one service. */
export class SpillController {
  readonly #options: SpillControllerOptions;
  readonly #own = new DomainLoad();
  readonly #directions = new Map<string, Direction>();
  #steppedAtMs: number;
  /** When calls last began to leave, in monotonic milliseconds; the time of the last correction while none do. */
  #startedAtMs = 0;
  /** Calls that may leave. */
  #credit = 0;
  #ownFailedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: SpillControllerOptions) {
    this.#options = options;
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
      this.#checkDirection(direction);
    }
    if (this.#own.loadRatio === undefined) {
      return;
    }
    const left = this.#spilledShare;
    const change = this.#computeChange(left, this.#own.loadRatio);
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

  /** Change of the share that leaves. */
  #computeChange(left: number, loadRatio: number): number {
    if (loadRatio > 1 && this.#own.isFalling) {
      return 0; // The queue drains, so enough calls leave.
    }
    const load = Math.min(MAX_LOAD, loadRatio);
    const aimed = SHARE_PER_LOAD * (load - KEPT_LOAD);
    const isStarting = this.#nowMs - this.#startedAtMs <= FIRST_RISES_MS;
    const damping = aimed < left ? RETURN_DAMPING : DAMPING;
    const firstRise = Math.min(MAX_FIRST_RISE, this.#own.refusedRatio);
    const change = isStarting && (firstRise > 0 || loadRatio >= MAX_LOAD)
      ? Math.max(FIRST_RISE, firstRise)
      : damping * (aimed - left);
    return Math.max(-left, Math.min(MAX_SHARE - left, change));
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
    let best: Direction | undefined;
    for (const direction of this.#directions.values()) {
      const isWanted = this.#isOpen(direction) &&
        (direction.share > 0 || this.#pays(direction, targetLatencyMs));
      direction.wantedSinceMs = isWanted
        ? Math.min(direction.wantedSinceMs, this.#nowMs)
        : Number.POSITIVE_INFINITY;
      const isReady = direction.share > 0 ||
        this.#nowMs - direction.wantedSinceMs >=
          this.#computeStartMs(direction);
      if (isReady && isWanted && (!best || precedes(direction, best))) {
        best = direction;
      }
    }
    if (best && change > 0) {
      const cause = isStarting ? "full" : "load";
      this.#setShare(best, best.share + Math.max(change, MIN_SHARE), cause);
    }
  }

  #computeStartMs({ target }: Direction): number {
    return (target.isOwnRegion ? 0 : REGION_START_MS) +
      (this.#options.ownDomain < target.domain ? 0 : LATE_START_MS);
  }

  #pays({ target, load }: Direction, targetLatencyMs: number): boolean {
    const { loadRatio = 0 } = this.#own;
    const isFull = loadRatio >= START_LOAD || this.#own.refusedRatio > 0;
    return isFull &&
      computeSpillGain({ own: this.#own, other: load, target }, {
          targetLatencyMs,
        }) > 0;
  }

  #isOpen({ load, blockedUntilMs, receivedAtMs }: Direction): boolean {
    const nowMs = this.#nowMs;
    return nowMs >= blockedUntilMs && nowMs - receivedAtMs > RECEIPT_MS &&
      (load.loadRatio ?? 0) < ROOM_LOAD;
  }

  /** Ends the calls to a domain that fails or is full. */
  #checkDirection(direction: Direction): void {
    const { load, share } = direction;
    if (share === 0) {
      return;
    }
    const isFailing = load.failedRatio > MAX_FAILED_RATIO;
    const isFull = load.refusedRatio > MAX_REFUSED_RATIO ||
      (load.isKnown && (load.loadRatio ?? 0) >= FULL_LOAD);
    if (isFailing || isFull) {
      direction.blockedUntilMs = this.#nowMs + direction.backoffMs;
      direction.backoffMs = Math.min(MAX_BACKOFF_MS, direction.backoffMs * 2);
      load.forget();
      this.#setShare(direction, 0, isFailing ? "failing" : "other-full");
    } else if ((load.loadRatio ?? 1) < ROOM_LOAD) {
      direction.backoffMs = MIN_BACKOFF_MS;
    } else if (load.isKnown) {
      const excess = ((load.loadRatio ?? 0) - ROOM_LOAD) /
        (FULL_LOAD - ROOM_LOAD);
      this.#setShare(direction, share * (1 - ROOM_DAMPING * excess), "other");
    }
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
        this.#directions.set(target.domain, {
          target,
          load: new DomainLoad(),
          ...{ share: 0, blockedUntilMs: 0, backoffMs: MIN_BACKOFF_MS },
          receivedAtMs: Number.NEGATIVE_INFINITY,
          wantedSinceMs: Number.POSITIVE_INFINITY,
        });
      }
    }
  }

  #setShare(direction: Direction, share: number, cause: string): void {
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

/** Domains of the own region go first, then those that get calls already, then the less loaded. */
function precedes(one: Direction, other: Direction): boolean {
  if (one.target.isOwnRegion !== other.target.isOwnRegion) {
    return one.target.isOwnRegion;
  }
  return (one.load.loadRatio ?? 0) < (other.load.loadRatio ?? 0);
}
