/**
 * Entry admission by adaptive throttling of each kind of request, and by the
 * load signals of the services that it reaches.
 *
 * An entry that sees few requests learns little from their outcomes, and only
 * after trees of calls have failed deep down; the signals tell it before.
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
import { findPathMark } from "./find_path_mark.ts";
import { LoadSignalCache } from "./load_signal_cache.ts";
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

/** Share of a service's instances that must be overloaded for an entry to refuse; with fewer, calls go to the others. */
const MIN_OVERLOADED_SHARE = 0.4;

/** Maximum number of load signals that a reply relays, and of one service; they bound its size to 800 bytes more. */
const MAX_RELAYED = 6;
const MAX_RELAYED_PER_SERVICE = 2;

/** What the admit ratio of a refused request follows from, as the journal names it. */
const RATIO_SOURCES = {
  loadSignal: "load-signal",
  outcomes: "outcomes",
} as const;

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
  /** Whether its accounts may be counted; false if there are too many kinds. */
  readonly isDivided: boolean;
  /** Undefined until a request of an account arrives. */
  accounts: AccountDemand | undefined;
}

interface RefusalOptions {
  readonly requestId: string;
  readonly member: string;
  /** Admit ratio of the account. */
  readonly ratio: number;
  /** Admit ratio of all accounts together. */
  readonly kindRatio: number;
  /** Service whose load signals ask for the ratio; undefined if it follows from the outcomes of requests. */
  readonly signalingService: string | undefined;
}

/** Admits requests by the share of their kind that was recently served. */
export class ThrottledEntryAdmission extends EntryAdmission {
  readonly #options: ThrottledEntryOptions;
  readonly #signals: LoadSignalCache;
  readonly #kinds = new Map<string, ThrottledKind>();

  constructor(options: ThrottledEntryOptions) {
    super();
    this.#options = options;
    this.#signals = new LoadSignalCache(options.clock);
  }

  override check(
    { request, requestId, member }: EntryRequest,
  ): Result<EntryGrant, Refusal> {
    const { random, readLowestRank } = this.#options;
    const kind = this.#findOrCreateKind(request);
    const { isDivided, throttle } = kind;
    if (isDivided && member !== "") {
      kind.accounts ??= new AccountDemand(this.#options.clock);
    }
    const { accounts } = kind;
    throttle.recordRequest();
    accounts?.recordRequest(member);
    const steps = Math.max(0, readLowestRank() - request.classRank);
    const headroom = MIN_HEADROOM * HEADROOM_FACTOR ** steps;
    const mark = findPathMark(this.#signals, request, {
      minOverloadedShare: MIN_OVERLOADED_SHARE,
    });
    const throttleRatio = accounts?.isShared
      ? throttle.computeArrivalAdmitRatio(headroom)
      : throttle.computeAdmitRatio(headroom);
    const kindRatio = Math.min(throttleRatio, mark?.ratio ?? 1);
    const ratio = accounts?.isShared
      ? accounts.computeRatio(member, {
        ratio: kindRatio,
        servedRatio: throttle.estimateServedRatio(),
        isSignaled: mark !== undefined,
      })
      : kindRatio;
    if (ratio < 1 && random.nextFloat() >= ratio) {
      return err(
        this.#refuse(request, {
          ...{ requestId, member, ratio, kindRatio },
          signalingService: mark && mark.ratio <= throttleRatio
            ? mark.service
            : undefined,
        }),
      );
    }
    throttle.recordStart();
    accounts?.recordStart(member);
    const otherRatio = Math.min(throttleRatio, mark?.otherRatio ?? 1);
    return ok({
      mark: mark && ratio < 1
        ? { ...mark, ratio, otherRatio: Math.max(ratio, otherRatio) }
        : undefined,
    });
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

  override observe(loads: readonly LoadSignal[]): void {
    loads.forEach((signal) => this.#signals.observe(signal));
  }

  override listOverloadSignals(services: readonly string[]): LoadSignal[] {
    return this.#signals.listOverloadSignals(services, MAX_RELAYED_PER_SERVICE)
      .slice(0, MAX_RELAYED);
  }

  /** Finds the counts of a kind; accounts with a class of their own are counted apart, since they share with that class. */
  #findOrCreateKind({ name, className }: CompiledRequest): ThrottledKind {
    const key = `${name} ${className}`;
    const known = this.#kinds.get(key);
    if (known) {
      return known;
    }
    if (this.#kinds.size >= MAX_REQUEST_KINDS) {
      this.#kinds.clear();
    }
    const kind = {
      throttle: new AdaptiveThrottle(this.#options.clock),
      isDivided: this.#kinds.size < MAX_DIVIDED_KINDS,
      accounts: undefined,
    };
    this.#kinds.set(key, kind);
    return kind;
  }

  /** Suggests a longer retry delay the lower the admit ratio is, with jitter. */
  #refuse(
    { className, name, service: ownService }: CompiledRequest,
    { requestId, member, ratio, kindRatio, signalingService }: RefusalOptions,
  ): Refusal {
    const { journal, metrics, random } = this.#options;
    const service = signalingService ?? ownService;
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
      source: signalingService === undefined
        ? RATIO_SOURCES.outcomes
        : RATIO_SOURCES.loadSignal,
      request: name,
      class: className,
      admitRatio: Number(ratio.toFixed(3)),
      ...member !== "" &&
        { account: member, kindRatio: Number(kindRatio.toFixed(3)) },
      retryAfterMs,
    }, requestId);
    return createRefusal(REASONS.overloadedEntry, { retryAfterMs });
  }
}
