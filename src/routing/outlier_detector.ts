/**
 * Outlier detection: ejects instances that fail while other instances of their
 * service work, and readmits them after a successful probe call.
 */

import type { DecisionFacts } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import {
  computeSlowStartWeight,
  SLOW_START_MS,
} from "./compute_slow_start_weight.ts";

/** Consecutive failures after which an instance is considered failing. */
const MAX_CONSECUTIVE_FAILURES = 5;

/** Number of failures that a failed connection attempt counts as. */
export const CONNECT_FAILURE_WEIGHT = 3;

/** Minimum number of attempts before the failure ratio is evaluated. */
const MIN_SAMPLES = 20;

/** Failure ratio above which an instance is considered failing. */
const MAX_FAILURE_RATIO = 0.5;

/** An outlier's failure ratio exceeds the average of its siblings by this factor. */
const OUTLIER_FACTOR = 2;

/** Weight of an attempt in the moving average of the failure ratio. */
const SAMPLE_WEIGHT = 0.1;

/** Maximum share of a service's instances used by this daemon that may be ejected at the same time. */
const MAX_EJECTED_RATIO = 0.5;

/**
 * Initial and maximum time between ejection and probe, in milliseconds. It doubles
 * with each ejection, unless the instance has worked for longer than it was ejected.
 */
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

interface Health {
  service: string;
  failuresInARow: number;
  failureRatio: number;
  samples: number;
  /** When a probe is due, in monotonic milliseconds; undefined while the instance is not ejected. */
  probeAtMs: number | undefined;
  isProbing: boolean;
  readmittedAtMs: number | undefined;
  /** Duration of the last ejection, in milliseconds; 0 before the first. */
  ejectionMs: number;
}

/** Called for each ejection and readmission, with the figures that led to it. */
export type OutlierListener = (
  kind: "ejection" | "readmission",
  facts: DecisionFacts,
) => void;

/** Tracks the health of instances as observed by this daemon. */
export class OutlierDetector {
  readonly #clock: Clock;
  readonly #listener: OutlierListener;
  readonly #health = new Map<string, Health>();

  constructor(clock: Clock, listener: OutlierListener) {
    this.#clock = clock;
    this.#listener = listener;
  }

  /** Whether the instance is ejected. */
  isEjected(incarnation: string): boolean {
    return this.#health.get(incarnation)?.probeAtMs !== undefined;
  }

  /** Whether a probe call may be sent to an ejected instance; there is at most one probe at a time. */
  isProbeDue(incarnation: string): boolean {
    const health = this.#health.get(incarnation);
    return health?.probeAtMs !== undefined && !health.isProbing &&
      this.#clock.monotonicMs() >= health.probeAtMs;
  }

  /** Share of its normal load that the instance should receive after a readmission. */
  getSlowStartWeight(incarnation: string): number {
    const readmittedAtMs = this.#health.get(incarnation)?.readmittedAtMs;
    return readmittedAtMs === undefined ? 1 : computeSlowStartWeight(
      readmittedAtMs + SLOW_START_MS,
      this.#clock.monotonicMs(),
    );
  }

  /** Records that a probe is sent. */
  startProbe(incarnation: string): void {
    const health = this.#health.get(incarnation);
    if (health) {
      health.isProbing = true;
    }
  }

  /** Records an attempt whose result does not show whether the instance works. */
  recordInconclusive(incarnation: string): void {
    const health = this.#health.get(incarnation);
    if (health) {
      health.isProbing = false;
    }
  }

  /** Records a successful attempt; a successful probe readmits the instance. */
  recordSuccess(incarnation: string, service: string): void {
    const health = this.#getHealth(incarnation, service);
    this.#updateFailureRatio(health, 0);
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

  /**
   * Records a failed attempt and ejects the instance if it is an outlier among
   * `siblings`, the instances of the service that this daemon uses, including
   * this one.
   */
  recordFailure(
    incarnation: string,
    service: string,
    options: { siblings: readonly string[]; weight: number },
  ): void {
    const health = this.#getHealth(incarnation, service);
    this.#updateFailureRatio(health, 1);
    health.failuresInARow += options.weight;
    if (health.probeAtMs !== undefined) {
      if (health.isProbing) {
        this.#eject(incarnation, health);
      }
      return;
    }
    const siblingRatio = this.#getSiblingFailureRatio(
      incarnation,
      options.siblings,
    );
    const isOutlier = this.#isFailing(health) &&
      health.failureRatio > siblingRatio * OUTLIER_FACTOR;
    const ejected = options.siblings.filter((id) => this.isEjected(id)).length;
    const maxEjected = Math.floor(options.siblings.length * MAX_EJECTED_RATIO);
    if (isOutlier && ejected < maxEjected) {
      this.#eject(incarnation, health);
    }
  }

  /** Drops the state of instances that are not in the given set. */
  retain(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#health.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#health.delete(incarnation);
      }
    }
  }

  #isFailing(health: Health): boolean {
    return health.failuresInARow >= MAX_CONSECUTIVE_FAILURES ||
      (health.samples >= MIN_SAMPLES &&
        health.failureRatio > MAX_FAILURE_RATIO);
  }

  #eject(incarnation: string, health: Health): void {
    const nowMs = this.#clock.monotonicMs();
    const workedMs = nowMs - (health.readmittedAtMs ?? nowMs);
    const hasRecovered = !health.isProbing && workedMs > health.ejectionMs;
    const ejectionMs = health.ejectionMs === 0 || hasRecovered
      ? BASE_EJECTION_MS
      : Math.min(MAX_EJECTION_MS, health.ejectionMs * 2);
    health.ejectionMs = ejectionMs;
    health.isProbing = false;
    health.probeAtMs = nowMs + ejectionMs;
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

  #getSiblingFailureRatio(own: string, siblings: readonly string[]): number {
    const ratios = siblings
      .filter((id) => id !== own && !this.isEjected(id))
      .map((id) => this.#health.get(id)?.failureRatio ?? 0);
    return ratios.length === 0
      ? 0
      : ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
  }

  #updateFailureRatio(health: Health, target: number): void {
    health.samples += 1;
    health.failureRatio += SAMPLE_WEIGHT * (target - health.failureRatio);
  }

  #getHealth(incarnation: string, service: string): Health {
    const known = this.#health.get(incarnation);
    if (known) {
      return known;
    }
    const health: Health = {
      service,
      failuresInARow: 0,
      failureRatio: 0,
      samples: 0,
      probeAtMs: undefined,
      isProbing: false,
      readmittedAtMs: undefined,
      ejectionMs: 0,
    };
    this.#health.set(incarnation, health);
    return health;
  }
}
