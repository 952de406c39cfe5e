/**
 * An in-memory journal of recent decisions with the values they were based on.
 */

import type { Clock } from "../time/mod.ts";
import { createSilentLogger } from "./logger.ts";
import type { Logger } from "./logger.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";

/** Number of entries of each kind that one daemon retains. */
const ENTRIES_PER_KIND = 500;

/** Kinds of decisions, as they appear in the journal and in logs. */
export const DECISIONS = {
  refusal: "refusal",
  entryRefusal: "entry-refusal",
  accountDisplacement: "account-displacement",
  limitChange: "limit-change",
  handBack: "hand-back",
  spillShareChange: "spill-share-change",
  admitLevelChange: "admit-level-change",
  ejection: "ejection",
  readmission: "readmission",
  retryDenied: "retry-denied",
  connectionReplaced: "connection-replaced",
  keyTakeover: "key-takeover",
  keyHandOver: "key-hand-over",
  configurationChange: "configuration-change",
  configurationRefused: "configuration-refused",
  configurationWatch: "configuration-watch",
  membershipChange: "membership-change",
  leaving: "leaving",
  answersEnded: "answers-ended",
  serverLimit: "server-limit",
  serverLeaving: "server-leaving",
  serverLimitInvalid: "server-limit-invalid",
  serverCrash: "server-crash",
  requestQuarantined: "request-quarantined",
  requestReleased: "request-released",
  unknownOutcome: "unknown-outcome",
  runFailed: "run-failed",
  overAllowance: "over-allowance",
} as const;

/** Kinds that are logged as errors; the others are logged at level `info`. */
const ERROR_KINDS: ReadonlySet<string> = new Set([
  DECISIONS.configurationRefused,
]);

/** One of {@link DECISIONS}. */
export type DecisionKind = (typeof DECISIONS)[keyof typeof DECISIONS];

/** The values on which a decision was based. */
export type DecisionFacts = Readonly<Record<string, string | number | boolean>>;

/** A recorded decision. */
export interface JournalEntry {
  readonly atMs: number;
  readonly kind: DecisionKind;
  readonly requestId: string;
  readonly facts: DecisionFacts;
}

/** Criteria for listing entries; an entry must match all that are set. */
export interface JournalFilter {
  readonly kind?: string | undefined;
  readonly requestId?: string | undefined;
  readonly sinceMs?: number | undefined;
}

interface RingBuffer {
  readonly entries: NumberedEntry[];
  next: number;
}

interface NumberedEntry {
  readonly number: number;
  readonly entry: JournalEntry;
}

/**
 * Keeps the latest decisions of one daemon in one ring buffer per kind, so that
 * many refusals do not evict the change that caused them.
 */
export class DecisionJournal {
  readonly #clock: Clock;
  readonly #log: Logger;
  readonly #limiter: LogRateLimiter;
  readonly #rings = new Map<DecisionKind, RingBuffer>();
  #count = 0;

  constructor(clock: Clock, log: Logger = createSilentLogger()) {
    this.#clock = clock;
    this.#log = log;
    this.#limiter = new LogRateLimiter(clock);
  }

  /**
   * Records a decision and logs it, rate-limited per kind. `requestId` is empty
   * if the decision does not concern a single request.
   */
  record(kind: DecisionKind, facts: DecisionFacts, requestId = ""): void {
    const ring = this.#getRing(kind);
    const entry = { atMs: this.#clock.nowMs(), kind, requestId, facts };
    ring.entries[ring.next] = { number: this.#count, entry };
    ring.next = (ring.next + 1) % ENTRIES_PER_KIND;
    this.#count += 1;
    const suppressed = this.#limiter.take(kind);
    if (suppressed !== undefined) {
      this.#log[ERROR_KINDS.has(kind) ? "error" : "info"]({
        ...facts,
        ...requestId !== "" && { requestId },
        ...suppressed > 0 && { suppressed },
      }, kind);
    }
  }

  /** Lists the matching entries, oldest first. */
  list(filter: JournalFilter = {}): JournalEntry[] {
    return [...this.#rings.values()]
      .flatMap(({ entries }) => entries)
      .sort((one, other) => one.number - other.number)
      .map(({ entry }) => entry)
      .filter((entry) =>
        (filter.kind === undefined || entry.kind === filter.kind) &&
        (filter.requestId === undefined ||
          entry.requestId === filter.requestId) &&
        (filter.sinceMs === undefined || entry.atMs >= filter.sinceMs)
      );
  }

  #getRing(kind: DecisionKind): RingBuffer {
    const ring = this.#rings.get(kind) ?? { entries: [], next: 0 };
    this.#rings.set(kind, ring);
    return ring;
  }
}
