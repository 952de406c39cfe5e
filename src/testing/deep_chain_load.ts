/**
 * Simulates load on a small service deep in the call graph, without a network.
 *
 * Requests enter at several daemons. Each makes several sequential calls to the
 * deep service and fails as soon as one of them does.
 */

import type { computeQueueTimeoutMs } from "../admission/compute_queue_timeout_ms.ts";
import type { EntryAdmission } from "../admission/entry_admission.ts";
import type { CompiledRequest } from "../configuration/mod.ts";
import { RandomSource } from "../time/mod.ts";
import type { ManualClock } from "./manual_clock.ts";

/** One kind of request. */
export interface ChainKind {
  readonly request: CompiledRequest;
  /** Share of the requests that are of this kind, 0 to 1. */
  readonly share: number;
}

/** Parameters of a simulation. */
export interface DeepChainPlan {
  readonly clock: ManualClock;
  /** Entry admission of each daemon. */
  readonly entries: readonly EntryAdmission[];
  readonly kinds: readonly ChainKind[];
  readonly seed: number;
  /** Returns the demand at a time, as a multiple of the capacity. */
  readonly computeDemand: (atMs: number) => number;
  readonly durationMs: number;
  /** Computes how long a call waits for a slot of the deep service, in milliseconds. */
  readonly computeQueueTimeoutMs: typeof computeQueueTimeoutMs;
}

/** Requests of one kind that arrived in one second. */
export interface ChainCount {
  offered: number;
  served: number;
}

/** Number of slots of the deep service, and mean service time of a call in milliseconds. */
const SLOTS = 40;
const CALL_MS = 22;

/** Number of sequential calls to the deep service that a request makes. */
const CALLS_PER_REQUEST = 4;

/** Time before the first call of a request, and timeout of each call, in milliseconds. */
const WORK_MS = 100;
const CALL_TIMEOUT_MS = 700;

/** Target latency of a request, in milliseconds; slower requests don't count as served. */
const TARGET_LATENCY_MS = 1_200;

/** Capacity of the deep service, in requests per millisecond. */
const CAPACITY_PER_MS = SLOTS / CALL_MS / CALLS_PER_REQUEST;

const MS_PER_SECOND = 1_000;

interface Chain {
  readonly kind: ChainKind;
  readonly entry: EntryAdmission;
  readonly count: ChainCount;
  readonly startedAtMs: number;
  callsLeft: number;
}

interface QueuedCall {
  readonly chain: Chain;
  readonly expiresAtMs: number;
}

/** A simulated load; `run` returns the counts by kind and second. */
export class DeepChainLoad {
  readonly #plan: DeepChainPlan;
  readonly #random: RandomSource;
  /** Scheduled events by the millisecond at which they are due. */
  readonly #events = new Map<number, (() => void)[]>();
  readonly #queues: QueuedCall[][];
  readonly #counts: ChainCount[][];
  #running = 0;
  #queuedSinceMs = 0;
  #nowMs = 0;

  constructor(plan: DeepChainPlan) {
    this.#plan = plan;
    this.#random = new RandomSource(plan.seed);
    this.#queues = plan.kinds.map(() => []);
    this.#counts = plan.kinds.map(() => []);
  }

  /** Runs the simulation for the whole duration. */
  run(): readonly (readonly ChainCount[])[] {
    const { clock, durationMs, computeDemand } = this.#plan;
    let arrivals = 0;
    for (this.#nowMs = 0; this.#nowMs < durationMs; this.#nowMs += 1) {
      arrivals += computeDemand(this.#nowMs) * CAPACITY_PER_MS;
      for (; arrivals >= 1; arrivals -= 1) {
        this.#admitRequest();
      }
      this.#events.get(this.#nowMs)?.forEach((action) => action());
      this.#events.delete(this.#nowMs);
      this.#expireCalls();
      clock.advance(1);
    }
    return this.#counts;
  }

  #admitRequest(): void {
    const { entries, kinds } = this.#plan;
    const sample = this.#random.nextFloat();
    let sum = 0;
    const index = kinds.findIndex(({ share }) => (sum += share) > sample);
    const kind = kinds[index];
    const entry = entries[this.#random.nextInteger(entries.length)];
    const counts = this.#counts[index];
    if (!kind || !entry || !counts) {
      return;
    }
    const second = Math.floor(this.#nowMs / MS_PER_SECOND);
    const count = counts[second] ??= { offered: 0, served: 0 };
    count.offered += 1;
    const { request } = kind;
    if (entry.check({ request, member: "", requestId: "" }).isOk()) {
      const startedAtMs = this.#nowMs;
      const chain = {
        kind,
        entry,
        count,
        startedAtMs,
        callsLeft: CALLS_PER_REQUEST,
      };
      this.#schedule(WORK_MS, () => this.#call(chain));
    }
  }

  #call(chain: Chain): void {
    const priority = this.#plan.kinds.indexOf(chain.kind);
    const queuedForMs = this.#isQueueEmpty
      ? 0
      : this.#nowMs - this.#queuedSinceMs;
    const timeoutMs = this.#plan.computeQueueTimeoutMs(CALL_TIMEOUT_MS, {
      isNested: true,
      holdMs: CALL_MS,
      queuedForMs,
    });
    if (this.#isQueueEmpty) {
      this.#queuedSinceMs = this.#nowMs;
    }
    const expiresAtMs = this.#nowMs + timeoutMs;
    this.#queues[priority]?.push({ chain, expiresAtMs });
    this.#startCalls();
  }

  get #isQueueEmpty(): boolean {
    return this.#queues.every((calls) => calls.length === 0);
  }

  #startCalls(): void {
    while (this.#running < SLOTS) {
      const next = this.#queues.find((calls) => calls.length > 0)?.shift();
      if (!next) {
        return;
      }
      this.#running += 1;
      const workMs = CALL_MS * (0.5 + this.#random.nextFloat());
      this.#schedule(workMs, () => this.#completeCall(next.chain));
    }
  }

  #completeCall(chain: Chain): void {
    this.#running -= 1;
    chain.callsLeft -= 1;
    if (chain.callsLeft > 0) {
      this.#call(chain);
    } else {
      this.#completeRequest(chain, true);
    }
    this.#startCalls();
  }

  #completeRequest(chain: Chain, isAnswered: boolean): void {
    const { entry, kind, startedAtMs, count } = chain;
    const durationMs = this.#nowMs - startedAtMs;
    const isServed = isAnswered && durationMs <= TARGET_LATENCY_MS;
    count.served += Number(isServed);
    entry.recordOutcome(kind.request, { member: "", isServed: isAnswered });
  }

  #expireCalls(): void {
    this.#queues.forEach((calls, priority) => {
      const expired = calls.filter((call) => call.expiresAtMs <= this.#nowMs);
      if (expired.length > 0) {
        this.#queues[priority] = calls.filter((call) =>
          !expired.includes(call)
        );
        expired.forEach(({ chain }) => this.#completeRequest(chain, false));
      }
    });
  }

  #schedule(delayMs: number, action: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const events = this.#events.get(atMs) ?? [];
    events.push(action);
    this.#events.set(atMs, events);
  }
}
