/**
 * Entry admission by the admit ratios in the load signals of the services on a
 * request's path.
 *
 * A request is admitted if the hash of its Member is below the lowest ratio.
 * All entries compute the same hash, so a Member is served or refused
 * consistently, at any entry and on every attempt. The hash rotates over time,
 * at a different moment for each Member, so that no Member stays refused.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { EntryAdmission } from "./entry_admission.ts";
import type { EntryGrant, EntryRequest } from "./entry_admission.ts";
import { findPathMark } from "./find_path_mark.ts";
import { hashText } from "../hashing/mod.ts";
import { LoadSignalCache } from "./load_signal_cache.ts";

/** Time between two rotations of a Member's hash, in milliseconds. */
const ROTATION_MS = 2_000;

/** Upper bound of the suggested retry delay, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

const HASH_RANGE = 0x1_0000_0000;

/** Dependencies of the entry admission. */
export interface LoadSignalEntryOptions {
  readonly clock: Clock;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
}

interface MemberPlace {
  /** Hash of the Member, scaled to 0 to 1; low places are admitted first. */
  readonly place: number;
  /** Time until the next rotation, in milliseconds. */
  readonly untilRotationMs: number;
}

/** Admits the share of requests that the downstream services can handle. */
export class LoadSignalEntryAdmission extends EntryAdmission {
  readonly #options: LoadSignalEntryOptions;
  readonly #loadSignals: LoadSignalCache;

  constructor(options: LoadSignalEntryOptions) {
    super();
    this.#options = options;
    this.#loadSignals = new LoadSignalCache(options.clock);
  }

  override observe(loads: readonly LoadSignal[]): void {
    loads.forEach((signal) => this.#loadSignals.observe(signal));
  }

  override listOverloadSignals(services: readonly string[]): LoadSignal[] {
    return this.#loadSignals.listOverloadSignals(services);
  }

  override check(entry: EntryRequest): Result<EntryGrant, Refusal> {
    const mark = findPathMark(this.#loadSignals, entry.request);
    if (!mark) {
      return ok({ mark: undefined });
    }
    const memberPlace = this.#computePlace(entry);
    if (memberPlace.place < mark.ratio) {
      return ok({ mark });
    }
    return err(this.#refuse(entry, { mark, memberPlace }));
  }

  #computePlace({ member, requestId }: EntryRequest): MemberPlace {
    const name = member === "" ? requestId : member;
    const offsetMs = hashText(name) % ROTATION_MS;
    const atMs = this.#options.clock.nowMs() + offsetMs;
    const rotation = Math.floor(atMs / ROTATION_MS);
    return {
      place: hashText(`${rotation} ${name}`) / HASH_RANGE,
      untilRotationMs: (rotation + 1) * ROTATION_MS - atMs,
    };
  }

  #refuse(
    entry: EntryRequest,
    { mark, memberPlace }: { mark: AdmissionMark; memberPlace: MemberPlace },
  ): Refusal {
    const { journal, metrics } = this.#options;
    const { request, requestId } = entry;
    const rotationsToWait = 1 / mark.ratio - 1;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.ceil(
        memberPlace.untilRotationMs + (rotationsToWait * ROTATION_MS) / 2,
      ),
    );
    metrics.entryRefusals.inc({
      class: request.className,
      service: mark.service,
    });
    journal.record(DECISIONS.entryRefusal, {
      service: mark.service,
      class: request.className,
      admitRatio: Number(mark.ratio.toFixed(3)),
      place: Number(memberPlace.place.toFixed(3)),
      retryAfterMs,
    }, requestId);
    return createRefusal(REASONS.overloadedEntry, { retryAfterMs });
  }
}
