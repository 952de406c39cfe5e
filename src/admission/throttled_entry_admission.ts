/**
 * Refusal at the entry by what was served lately of each kind of request.
 *
 * Important kinds keep a larger headroom: they are refused last, and what the
 * others leave is theirs.
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
import { AcceptanceThrottle } from "./adaptive_throttle.ts";
import { EntryAdmission } from "./entry_admission.ts";
import type { EntryGrant, EntryRequest } from "./entry_admission.ts";

/** Headroom of the least important kinds. */
const LEAST_HEADROOM = 1.25;

/** Factor of the headroom from one class to the next more important one. */
const HEADROOM_STEP = 1.8;

/** Wait suggested when nearly all is admitted, in milliseconds. */
const SHORT_RETRY_AFTER_MS = 400;

/** Longest wait suggested, in milliseconds. */
const MAX_RETRY_AFTER_MS = 3_000;

/** Kinds of request that are remembered. */
const MAX_KINDS = 4_096;

/** Dependencies of the admission. */
export interface ThrottledEntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  /** Rank of the least important class. */
  readonly readLowestRank: () => number;
}

/** Admits by the share that was served. */
export class ThrottledEntryAdmission extends EntryAdmission {
  readonly #options: ThrottledEntryOptions;
  readonly #throttles = new Map<string, AcceptanceThrottle>();

  constructor(options: ThrottledEntryOptions) {
    super();
    this.#options = options;
  }

  override check(
    { request, requestId }: EntryRequest,
  ): Result<EntryGrant, Refusal> {
    const { random, readLowestRank } = this.#options;
    const throttle = this.#find(request.name);
    throttle.noteRequest();
    const steps = Math.max(0, readLowestRank() - request.classRank);
    const headroom = LEAST_HEADROOM * HEADROOM_STEP ** steps;
    const ratio = throttle.computeAdmitRatio(headroom);
    if (ratio < 1 && random.nextRatio() >= ratio) {
      return err(this.#refuse(request, requestId, ratio));
    }
    throttle.noteStart();
    return ok({ mark: undefined });
  }

  override recordOutcome({ name }: CompiledRequest, isServed: boolean): void {
    this.#find(name).noteEnd(isServed);
  }

  override recordUnreached({ name }: CompiledRequest): void {
    this.#find(name).forgetRequest();
  }

  override observe(_loads: readonly LoadSignal[]): void {
    // Outcomes tell more than the load of single instances.
  }

  override listOverloadSignals(_services: readonly string[]): LoadSignal[] {
    return [];
  }

  #find(name: string): AcceptanceThrottle {
    const known = this.#throttles.get(name);
    if (known) {
      return known;
    }
    if (this.#throttles.size >= MAX_KINDS) {
      this.#throttles.clear();
    }
    const throttle = new AcceptanceThrottle(this.#options.clock);
    this.#throttles.set(name, throttle);
    return throttle;
  }

  /** The fewer are admitted the later callers are asked to return, each at another moment. */
  #refuse(
    { className, service }: CompiledRequest,
    requestId: string,
    ratio: number,
  ): Refusal {
    const { journal, metrics, random } = this.#options;
    const meanMs = Math.min(MAX_RETRY_AFTER_MS, SHORT_RETRY_AFTER_MS / ratio);
    const retryAfterMs = Math.ceil(meanMs * (0.5 + random.nextRatio()));
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
