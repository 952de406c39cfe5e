/**
 * Ejection of instances that fail while others of their service work, and
 * their re-admission by single probes.
 */

import type { DecisionFacts } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { computeWarmRatio, SLOW_START_MS } from "./compute_warm_ratio.ts";

/** Failures in a row after which an instance is an outlier. */
const MAX_FAILURES_IN_A_ROW = 5;

/** Failures that a failed attempt to connect counts for. */
export const CONNECT_FAILURE_WEIGHT = 3;

/** Attempts before the share of failures is judged. */
const MIN_SAMPLES = 20;

/** Share of failures of an outlier. */
const MAX_FAILURE_RATIO = 0.5;

/** How much more often than the others an outlier fails. */
const OUTLIER_FACTOR = 2;

/** Weight of an attempt in the share of failures. */
const SAMPLE_WEIGHT = 0.1;

/** Largest share of a service's instances that may be ejected at a time. */
const MAX_EJECTED_RATIO = 0.5;

/** First and longest time between ejection and probe, in milliseconds. */
const FIRST_EJECTION_MS = 1_000;
const LONGEST_EJECTION_MS = 30_000;

interface Health {
  service: string;
  failuresInARow: number;
  failureRatio: number;
  samples: number;
  ejections: number;
  /** When a probe is due; undefined while the instance is in use. */
  probeAtMs: number | undefined;
  isProbing: boolean;
  readmittedAtMs: number | undefined;
}

/** Told of ejections and re-admissions with the numbers behind them. */
export type OutlierListener = (
  kind: "ejection" | "readmission",
  facts: DecisionFacts,
) => void;

/** Health of instances as this daemon sees it. */
export class OutlierDetector {
  readonly #clock: Clock;
  readonly #listener: OutlierListener;
  readonly #health = new Map<string, Health>();

  constructor(clock: Clock, listener: OutlierListener) {
    this.#clock = clock;
    this.#listener = listener;
  }

  /** Whether the instance is not used. */
  isEjected(incarnation: string): boolean {
    return this.#health.get(incarnation)?.probeAtMs !== undefined;
  }

  /** Whether a single call may be sent to find out how the instance does. */
  isProbeDue(incarnation: string): boolean {
    const health = this.#health.get(incarnation);
    return health?.probeAtMs !== undefined && !health.isProbing &&
      this.#clock.monotonicMs() >= health.probeAtMs;
  }

  /** Share of the usual load after a re-admission. */
  readWarmRatio(incarnation: string): number {
    const readmittedAtMs = this.#health.get(incarnation)?.readmittedAtMs;
    return readmittedAtMs === undefined ? 1 : computeWarmRatio(
      readmittedAtMs + SLOW_START_MS,
      this.#clock.monotonicMs(),
    );
  }

  /** A probe is sent. */
  beginProbe(incarnation: string): void {
    const health = this.#health.get(incarnation);
    if (health) {
      health.isProbing = true;
    }
  }

  /** An attempt ended without telling whether the instance works. */
  noteNothing(incarnation: string): void {
    const health = this.#health.get(incarnation);
    if (health) {
      health.isProbing = false;
    }
  }

  /** An attempt succeeded. */
  noteSuccess(incarnation: string, service: string): void {
    const health = this.#read(incarnation, service);
    this.#sample(health, 0);
    health.failuresInARow = 0;
    if (health.probeAtMs === undefined || !health.isProbing) {
      return;
    }
    health.probeAtMs = undefined;
    health.isProbing = false;
    health.failureRatio = 0;
    health.samples = 0;
    health.readmittedAtMs = this.#clock.monotonicMs();
    this.#listener("readmission", { incarnation, service });
  }

  /** An attempt failed; `siblings` are all instances of the service. */
  noteFailure(
    incarnation: string,
    service: string,
    options: { siblings: readonly string[]; weight: number },
  ): void {
    const health = this.#read(incarnation, service);
    this.#sample(health, 1);
    health.failuresInARow += options.weight;
    if (health.probeAtMs !== undefined) {
      if (health.isProbing) {
        this.#eject(incarnation, health);
      }
      return;
    }
    const usualRatio = this.#readUsualRatio(incarnation, options.siblings);
    const isOutlier = this.#isFailing(health) &&
      health.failureRatio > usualRatio * OUTLIER_FACTOR;
    const ejected = options.siblings.filter((id) => this.isEjected(id)).length;
    const mostEjected = Math.floor(options.siblings.length * MAX_EJECTED_RATIO);
    if (isOutlier && ejected < mostEjected) {
      this.#eject(incarnation, health);
    }
  }

  /** Forgets instances that are not listed any more. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#health.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#health.delete(incarnation);
      }
    }
  }

  #isFailing(health: Health): boolean {
    return health.failuresInARow >= MAX_FAILURES_IN_A_ROW ||
      (health.samples >= MIN_SAMPLES &&
        health.failureRatio > MAX_FAILURE_RATIO);
  }

  #eject(incarnation: string, health: Health): void {
    const ejectionMs = Math.min(
      LONGEST_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** health.ejections,
    );
    health.ejections += 1;
    health.isProbing = false;
    health.probeAtMs = this.#clock.monotonicMs() + ejectionMs;
    const { service, failuresInARow, failureRatio, samples } = health;
    this.#listener("ejection", {
      incarnation,
      service,
      failuresInARow,
      failureRatio,
      samples,
      ejectionMs,
    });
  }

  #readUsualRatio(own: string, siblings: readonly string[]): number {
    const ratios = siblings
      .filter((id) => id !== own && !this.isEjected(id))
      .map((id) => this.#health.get(id)?.failureRatio ?? 0);
    return ratios.length === 0
      ? 0
      : ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
  }

  #sample(health: Health, target: number): void {
    health.samples += 1;
    health.failureRatio += SAMPLE_WEIGHT * (target - health.failureRatio);
  }

  #read(incarnation: string, service: string): Health {
    const known = this.#health.get(incarnation);
    if (known) {
      return known;
    }
    const health: Health = {
      service,
      failuresInARow: 0,
      failureRatio: 0,
      samples: 0,
      ejections: 0,
      probeAtMs: undefined,
      isProbing: false,
      readmittedAtMs: undefined,
    };
    this.#health.set(incarnation, health);
    return health;
  }
}
