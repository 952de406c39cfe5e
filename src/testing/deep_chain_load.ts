/**
 * A load on a small service deep in the path, without a network: requests enter
 * at several daemons, each needs calls of the deep service one after the other,
 * and is lost with any one of them.
 */

import type { computeQueueTimeoutMs } from "../admission/compute_queue_timeout_ms.ts";
import type { EntryAdmission } from "../admission/entry_admission.ts";
import type { CompiledRequest } from "../configuration/mod.ts";
import { RandomSource } from "../time/mod.ts";
import type { ManualClock } from "./manual_clock.ts";

/** One kind of request. */
export interface ChainKind {
  readonly request: CompiledRequest;
  /** Part of the requests that are of this kind. */
  readonly share: number;
}

/** What is played. */
export interface DeepChainPlan {
  readonly clock: ManualClock;
  /** The entry of each daemon. */
  readonly entries: readonly EntryAdmission[];
  readonly kinds: readonly ChainKind[];
  readonly seed: number;
  /** Demand over capacity at a time. */
  readonly readDemand: (atMs: number) => number;
  readonly lengthMs: number;
  /** How long a call waits for a slot of the deep service. */
  readonly readPatienceMs: typeof computeQueueTimeoutMs;
}

/** Requests of one kind in one second. */
export interface ChainCount {
  asked: number;
  served: number;
}

/** Slots of the deep service and mean time of one call, in milliseconds. */
const SLOTS = 40;
const CALL_MS = 22;

/** Calls of the deep service that one request makes, one after the other. */
const CALLS = 4;

/** Work before the first call, and time that a call may take in all, in milliseconds. */
const WORK_MS = 100;
const CALL_LIMIT_MS = 700;

/** Latency that requests aim at, in milliseconds; what comes later does not count as served. */
const TARGET_LATENCY_MS = 1_200;

/** Requests that the deep service can serve in a millisecond. */
const CAPACITY_PER_MS = SLOTS / CALL_MS / CALLS;

const MS_PER_SECOND = 1_000;

interface Chain {
  readonly kind: ChainKind;
  readonly entry: EntryAdmission;
  readonly count: ChainCount;
  readonly startedAtMs: number;
  callsLeft: number;
}

interface WaitingCall {
  readonly chain: Chain;
  readonly expiresAtMs: number;
}

/** Plays a load; gives the counts by kind and second. */
export class DeepChainLoad {
  readonly #plan: DeepChainPlan;
  readonly #random: RandomSource;
  /** What happens, by millisecond. */
  readonly #due = new Map<number, (() => void)[]>();
  readonly #waiting: WaitingCall[][];
  readonly #counts: ChainCount[][];
  #running = 0;
  #queuedSinceMs = 0;
  #atMs = 0;

  constructor(plan: DeepChainPlan) {
    this.#plan = plan;
    this.#random = new RandomSource(plan.seed);
    this.#waiting = plan.kinds.map(() => []);
    this.#counts = plan.kinds.map(() => []);
  }

  /** Plays the whole length. */
  run(): readonly (readonly ChainCount[])[] {
    const { clock, lengthMs, readDemand } = this.#plan;
    let arrivals = 0;
    for (this.#atMs = 0; this.#atMs < lengthMs; this.#atMs += 1) {
      arrivals += readDemand(this.#atMs) * CAPACITY_PER_MS;
      for (; arrivals >= 1; arrivals -= 1) {
        this.#arrive();
      }
      this.#due.get(this.#atMs)?.forEach((happen) => happen());
      this.#due.delete(this.#atMs);
      this.#expire();
      clock.advance(1);
    }
    return this.#counts;
  }

  #arrive(): void {
    const { entries, kinds } = this.#plan;
    const drawn = this.#random.nextFloat();
    let sum = 0;
    const index = kinds.findIndex(({ share }) => (sum += share) > drawn);
    const kind = kinds[index];
    const entry = entries[this.#random.nextInteger(entries.length)];
    const counts = this.#counts[index];
    if (!kind || !entry || !counts) {
      return;
    }
    const second = Math.floor(this.#atMs / MS_PER_SECOND);
    const count = counts[second] ??= { asked: 0, served: 0 };
    count.asked += 1;
    const { request } = kind;
    if (entry.check({ request, member: "", requestId: "" }).isOk()) {
      const startedAtMs = this.#atMs;
      const chain = { kind, entry, count, startedAtMs, callsLeft: CALLS };
      this.#later(WORK_MS, () => this.#call(chain));
    }
  }

  #call(chain: Chain): void {
    const rank = this.#plan.kinds.indexOf(chain.kind);
    const queuedForMs = this.#isQueueEmpty
      ? 0
      : this.#atMs - this.#queuedSinceMs;
    const patienceMs = this.#plan.readPatienceMs(CALL_LIMIT_MS, {
      isNested: true,
      holdMs: CALL_MS,
      queuedForMs,
    });
    if (this.#isQueueEmpty) {
      this.#queuedSinceMs = this.#atMs;
    }
    const expiresAtMs = this.#atMs + patienceMs;
    this.#waiting[rank]?.push({ chain, expiresAtMs });
    this.#grant();
  }

  get #isQueueEmpty(): boolean {
    return this.#waiting.every((calls) => calls.length === 0);
  }

  #grant(): void {
    while (this.#running < SLOTS) {
      const next = this.#waiting.find((calls) => calls.length > 0)?.shift();
      if (!next) {
        return;
      }
      this.#running += 1;
      const workMs = CALL_MS * (0.5 + this.#random.nextFloat());
      this.#later(workMs, () => this.#end(next.chain));
    }
  }

  #end(chain: Chain): void {
    this.#running -= 1;
    chain.callsLeft -= 1;
    if (chain.callsLeft > 0) {
      this.#call(chain);
    } else {
      this.#finish(chain, true);
    }
    this.#grant();
  }

  #finish(chain: Chain, isAnswered: boolean): void {
    const { entry, kind, startedAtMs, count } = chain;
    const durationMs = this.#atMs - startedAtMs;
    const isServed = isAnswered && durationMs <= TARGET_LATENCY_MS;
    count.served += Number(isServed);
    entry.recordOutcome(kind.request, isAnswered);
  }

  #expire(): void {
    this.#waiting.forEach((calls, rank) => {
      const expired = calls.filter((call) => call.expiresAtMs <= this.#atMs);
      if (expired.length > 0) {
        this.#waiting[rank] = calls.filter((call) => !expired.includes(call));
        expired.forEach(({ chain }) => this.#finish(chain, false));
      }
    });
  }

  #later(delayMs: number, happen: () => void): void {
    const atMs = this.#atMs + Math.max(1, Math.round(delayMs));
    const due = this.#due.get(atMs) ?? [];
    due.push(happen);
    this.#due.set(atMs, due);
  }
}
