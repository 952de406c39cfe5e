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
import { AccountDemand } from "./account_demand.ts";
import { AdaptiveThrottle } from "./adaptive_throttle.ts";
import { EntryAdmission } from "./entry_admission.ts";
import type {
  EntryGrant,
  EntryOutcome,
  EntryRequest,
} from "./entry_admission.ts";

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

/** Maximum number of request kinds whose accounts are counted, which bounds the state to 4,096 accounts. */
const MAX_DIVIDED_KINDS = 64;

/** Dependencies of the entry admission. */
export interface ThrottledEntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  /** Rank of the least important class. */
  readonly readLowestRank: () => number;
}

interface ThrottledKind {
  readonly throttle: AdaptiveThrottle;
  /** Undefined if there are too many kinds to count accounts for each. */
  readonly accounts: AccountDemand | undefined;
}

interface RefusalOptions {
  readonly requestId: string;
  readonly member: string;
  /** Admit ratio of the account. */
  readonly ratio: number;
  /** Admit ratio of all accounts together. */
  readonly kindRatio: number;
}

/** Admits requests by the share of their kind that was recently served. */
export class ThrottledEntryAdmission extends EntryAdmission {
  readonly #options: ThrottledEntryOptions;
  readonly #kinds = new Map<string, ThrottledKind>();

  constructor(options: ThrottledEntryOptions) {
    super();
    this.#options = options;
  }

  override check(
    { request, requestId, member }: EntryRequest,
  ): Result<EntryGrant, Refusal> {
    const { random, readLowestRank } = this.#options;
    const { throttle, accounts } = this.#findOrCreateKind(request);
    throttle.recordRequest();
    accounts?.recordRequest(member);
    const steps = Math.max(0, readLowestRank() - request.classRank);
    const headroom = MIN_HEADROOM * HEADROOM_FACTOR ** steps;
    const kindRatio = accounts?.isShared
      ? throttle.computeArrivalAdmitRatio(headroom)
      : throttle.computeAdmitRatio(headroom);
    const ratio = accounts?.isShared
      ? accounts.computeRatio(member, {
        ratio: kindRatio,
        servedRatio: throttle.estimateServedRatio(),
      })
      : kindRatio;
    if (ratio < 1 && random.nextFloat() >= ratio) {
      return err(
        this.#refuse(request, { requestId, member, ratio, kindRatio }),
      );
    }
    throttle.recordStart();
    accounts?.recordStart(member);
    return ok({ mark: undefined });
  }

  override recordOutcome(
    request: CompiledRequest,
    { member, isServed }: EntryOutcome,
  ): void {
    const { throttle, accounts } = this.#findOrCreateKind(request);
    throttle.recordEnd(isServed);
    accounts?.recordEnd(member, isServed);
  }

  override recordUnreached(request: CompiledRequest, member: string): void {
    const { throttle, accounts } = this.#findOrCreateKind(request);
    throttle.discardRequest();
    accounts?.discardRequest(member);
  }

  override observe(_loads: readonly LoadSignal[]): void {
    // Load signals are ignored: outcomes say more than the load of single instances.
  }

  override listOverloadSignals(_services: readonly string[]): LoadSignal[] {
    return [];
  }

  #findOrCreateKind({ name }: CompiledRequest): ThrottledKind {
    const known = this.#kinds.get(name);
    if (known) {
      return known;
    }
    if (this.#kinds.size >= MAX_REQUEST_KINDS) {
      this.#kinds.clear();
    }
    const { clock } = this.#options;
    const kind = {
      throttle: new AdaptiveThrottle(clock),
      accounts: this.#kinds.size < MAX_DIVIDED_KINDS
        ? new AccountDemand(clock)
        : undefined,
    };
    this.#kinds.set(name, kind);
    return kind;
  }

  /** Suggests a longer retry delay the lower the admit ratio is, with jitter. */
  #refuse(
    { className, service }: CompiledRequest,
    { requestId, member, ratio, kindRatio }: RefusalOptions,
  ): Refusal {
    const { journal, metrics, random } = this.#options;
    const meanMs = Math.min(
      MAX_RETRY_AFTER_MS,
      MIN_MEAN_RETRY_AFTER_MS / ratio,
    );
    const retryAfterMs = Math.ceil(meanMs * (0.5 + random.nextFloat()));
    metrics.entryRefusals.inc({ class: className, service });
    if (ratio < kindRatio) {
      metrics.accountRefusals.inc({ class: className, stage: "entry" });
    }
    journal.record(DECISIONS.entryRefusal, {
      service,
      class: className,
      admitRatio: Number(ratio.toFixed(3)),
      ...member !== "" &&
        { account: member, kindRatio: Number(kindRatio.toFixed(3)) },
      retryAfterMs,
    }, requestId);
    return createRefusal(REASONS.overloadedEntry, { retryAfterMs });
  }
}
