/**
 * Entry admission by adaptive throttling of each kind of request.
 *
 * More important kinds get a larger headroom, so they are refused last and use
 * the capacity that the others leave.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { AdaptiveThrottle } from "./adaptive_throttle.ts";
import { EntryAdmission } from "./entry_admission.ts";
import type { EntryGrant, EntryRequest } from "./entry_admission.ts";

/** Headroom of the least important class. */
const MIN_HEADROOM = 1.25;

/** Factor between the headroom of a class and that of the next less important one. */
const HEADROOM_FACTOR = 1.8;

/** Mean suggested retry delay when nearly everything is admitted, in milliseconds. */
const MIN_MEAN_RETRY_AFTER_MS = 400;

/** Upper bound of the mean suggested retry delay, in milliseconds. */
const MAX_RETRY_AFTER_MS = 3_000;

/** Maximum number of request kinds; reaching it clears the throttles. */
const MAX_REQUEST_KINDS = 4_096;

/** Dependencies of the entry admission. */
export interface ThrottledEntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  /** Rank of the least important class. */
  readonly readLowestRank: () => number;
}

/** Admits requests by the share of their kind that was recently served. */
export class ThrottledEntryAdmission extends EntryAdmission {
  readonly #options: ThrottledEntryOptions;
  readonly #throttles = new Map<string, AdaptiveThrottle>();

  constructor(options: ThrottledEntryOptions) {
    super();
    this.#options = options;
  }

  override check(
    { request, requestId }: EntryRequest,
  ): Result<EntryGrant, Refusal> {
    const { random, readLowestRank } = this.#options;
    const throttle = this.#findOrCreateThrottle(request.name);
    throttle.recordRequest();
    const steps = Math.max(0, readLowestRank() - request.classRank);
    const headroom = MIN_HEADROOM * HEADROOM_FACTOR ** steps;
    const ratio = throttle.computeAdmitRatio(headroom);
    if (ratio < 1 && random.nextFloat() >= ratio) {
      return err(this.#refuse(request, requestId, ratio));
    }
    throttle.recordStart();
    return ok({ mark: undefined });
  }

  override recordOutcome({ name }: CompiledRequest, isServed: boolean): void {
    this.#findOrCreateThrottle(name).recordEnd(isServed);
  }

  override recordUnreached({ name }: CompiledRequest): void {
    this.#findOrCreateThrottle(name).discardRequest();
  }

  override observe(_loads: readonly LoadSignal[]): void {
    // Load signals are ignored: outcomes say more than the load of single instances.
  }

  override listOverloadSignals(_services: readonly string[]): LoadSignal[] {
    return [];
  }

  #findOrCreateThrottle(name: string): AdaptiveThrottle {
    const known = this.#throttles.get(name);
    if (known) {
      return known;
    }
    if (this.#throttles.size >= MAX_REQUEST_KINDS) {
      this.#throttles.clear();
    }
    const throttle = new AdaptiveThrottle(this.#options.clock);
    this.#throttles.set(name, throttle);
    return throttle;
  }

  /** Suggests a longer retry delay the lower the admit ratio is, with jitter. */
  #refuse(
    { className, service }: CompiledRequest,
    requestId: string,
    ratio: number,
  ): Refusal {
    const { journal, metrics, random } = this.#options;
    const meanMs = Math.min(
      MAX_RETRY_AFTER_MS,
      MIN_MEAN_RETRY_AFTER_MS / ratio,
    );
    const retryAfterMs = Math.ceil(meanMs * (0.5 + random.nextFloat()));
    metrics.entryRefusals.inc({ class: className, service });
    journal.record(DECISIONS.entryRefusal, {
      service,
      class: className,
      admitRatio: Number(ratio.toFixed(3)),
      retryAfterMs,
    }, requestId);
    return createRefusal(REASONS.overloadedEntry, { retryAfterMs });
  }
}
