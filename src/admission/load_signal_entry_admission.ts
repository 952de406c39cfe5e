/**
 * Refusal at the entry by the shares that the services of a request's path ask for.
 *
 * A request is admitted when the hash of its Member lies below the lowest
 * share. All entries compute the same hash, so that a Member is either served
 * or refused, wherever it asks and however often; the hash changes with time,
 * for each Member at another moment, so that everyone's turn comes.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { EntryAdmission } from "./entry_admission.ts";
import type { EntryGrant, EntryRequest } from "./entry_admission.ts";
import { hashText } from "../hashing/mod.ts";
import { ServiceLevels } from "./load_signal_cache.ts";

/** Time for which a Member keeps its place, in milliseconds. */
const TURN_MS = 2_000;

/** Longest wait that a refusal suggests, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

const HASH_RANGE = 0x1_0000_0000;

/** What entry admission depends on. */
export interface LoadSignalEntryOptions {
  readonly clock: Clock;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
}

interface MemberTurn {
  /** Place among all Members, from 0 to 1; low places are admitted first. */
  readonly place: number;
  /** Time until the Member gets another place, in milliseconds. */
  readonly leftMs: number;
}

/** Admits the share of requests that the services ahead can carry. */
export class LoadSignalEntryAdmission extends EntryAdmission {
  readonly #options: LoadSignalEntryOptions;
  readonly #levels: ServiceLevels;

  constructor(options: LoadSignalEntryOptions) {
    super();
    this.#options = options;
    this.#levels = new ServiceLevels(options.clock);
  }

  override observe(loads: readonly LoadSignal[]): void {
    loads.forEach((signal) => this.#levels.observe(signal));
  }

  override listOverloadSignals(services: readonly string[]): LoadSignal[] {
    return this.#levels.listOverloaded(services);
  }

  override check(entry: EntryRequest): Result<EntryGrant, Refusal> {
    const mark = this.#findMark(entry.request);
    if (!mark) {
      return ok({ mark: undefined });
    }
    const turn = this.#findTurn(entry);
    if (turn.place < mark.ratio) {
      return ok({ mark });
    }
    return err(this.#refuse(entry, { mark, turn }));
  }

  #findMark(request: CompiledRequest): AdmissionMark | undefined {
    const ratios = request.path.map((service) => ({
      service,
      ratio: this.#levels.computeRatio(service, request.classRank),
    })).sort((one, other) => one.ratio - other.ratio);
    const [lowest, second] = ratios;
    return lowest && lowest.ratio < 1
      ? { ...lowest, otherRatio: second?.ratio ?? 1 }
      : undefined;
  }

  #findTurn({ member, requestId }: EntryRequest): MemberTurn {
    const name = member === "" ? requestId : member;
    const offsetMs = hashText(name) % TURN_MS;
    const atMs = this.#options.clock.nowMs() + offsetMs;
    const turn = Math.floor(atMs / TURN_MS);
    return {
      place: hashText(`${turn} ${name}`) / HASH_RANGE,
      leftMs: (turn + 1) * TURN_MS - atMs,
    };
  }

  #refuse(
    entry: EntryRequest,
    { mark, turn }: { mark: AdmissionMark; turn: MemberTurn },
  ): Refusal {
    const { journal, metrics } = this.#options;
    const { request, requestId } = entry;
    const turnsToWait = 1 / mark.ratio - 1;
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.ceil(turn.leftMs + (turnsToWait * TURN_MS) / 2),
    );
    metrics.entryRefusals.inc({
      class: request.className,
      service: mark.service,
    });
    journal.record(DECISIONS.entryRefusal, {
      service: mark.service,
      class: request.className,
      admitRatio: Number(mark.ratio.toFixed(3)),
      place: Number(turn.place.toFixed(3)),
      retryAfterMs,
    }, requestId);
    return createRefusal(REASONS.overloadedEntry, { retryAfterMs });
  }
}
