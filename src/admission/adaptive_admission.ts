/**
 * Admission to the backend server by a learnt limit, with a short queue in
 * front of it whose calls are refused as soon as they cannot run in time.
 *
 * It also computes how much of their demand entries should let through.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Reason, Refusal } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import { AdmissionJournal } from "./admission_journal.ts";
import type { AdmissionRecords } from "./admission_journal.ts";
import { AdmitLevel } from "./admit_ratio_controller.ts";
import { computeQueueTimeoutMs } from "./compute_queue_timeout_ms.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { countReservedSlots } from "./count_reserved_slots.ts";
import { DemandWindow } from "./demand_window.ts";
import { IdleMeter } from "./idle_meter.ts";
import { InboundAdmission } from "./inbound_admission.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";
import { MemberUsage } from "./member_usage.ts";
import { SlotUse } from "./slot_tracker.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import type { OrderOptions, Waiter } from "./waiting_queue.ts";

/** Share of the time that a call may wait which the calls ahead of it may take. */
const PROMISED_WAIT_RATIO = 0.8;

/** Share of the time that a call may wait from which the calls ahead of it leave no hope. */
const HOPELESS_WAIT_RATIO = 1.25;

/** Most calls that wait, whatever their time left. */
const MAX_WAITING = 2_000;

/** Delay of the queue from which the latest calls go first, in milliseconds. */
const NEWEST_FIRST_DELAY_MS = 100;

/** Shortest wait that a refusal suggests, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

const MS_PER_SECOND = 1_000;
const PERMILLE = 1_000;

/** What admission depends on. */
export interface AdaptiveAdmissionOptions extends AdmissionRecords {
  readonly clock: Clock;
  /** Number that tells this instance from others of its service. */
  readonly instance: number;
  /** Share of the limit kept for each class, the most important first. */
  readonly listReservedRatios: () => readonly number[];
}

type Entrance = Result<Permit, Refusal>;

interface WaitingCall extends Waiter {
  readonly settle: (entrance: Entrance) => void;
}

/** Learnt limit, short queue and demand of one backend server. */
export class AdaptiveAdmission extends InboundAdmission {
  readonly #options: AdaptiveAdmissionOptions;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = new WaitingQueue<WaitingCall>();
  readonly #slots: SlotUse;
  readonly #demand = new DemandWindow();
  readonly #level = new AdmitLevel();
  readonly #usage = new MemberUsage();
  readonly #idle = new IdleMeter();
  readonly #journal: AdmissionJournal;
  /** When the first of the calls that wait now found the queue empty. */
  #queuedSinceMs = 0;

  constructor(options: AdaptiveAdmissionOptions) {
    super();
    this.#options = options;
    this.#limit = new ConcurrencyLimit(options.clock);
    this.#slots = new SlotUse(options.clock);
    this.#journal = new AdmissionJournal(options);
  }

  override get pendingCalls(): number {
    return this.#slots.running.count + this.#queue.length;
  }

  override setCapacity(slots: number): void {
    this.#limit.setCeiling(slots);
    this.#journal.recordLimit(this.#limit.value, this.#slots.holdMs);
    this.#grantNext();
  }

  override describeLoad(service: string): LoadSignal {
    this.#updateLevel();
    const { ratios, demandPerSecond, lowestRatio } = this.#level;
    return {
      service,
      inFlight: this.#slots.running.count,
      queued: this.#queue.length,
      limit: this.#limit.value,
      admitLevel: lowestRatio,
      instance: this.#options.instance,
      sequence: Math.floor(this.#options.clock.nowMs()),
      demandPerSecond: Math.round(demandPerSecond),
      ...lowestRatio < 1 &&
        { admitPermille: ratios.map((ratio) => Math.ceil(ratio * PERMILLE)) },
    };
  }

  override async acquire(call: InboundCall): Promise<Entrance> {
    this.#demand.record({
      atMs: this.#nowMs,
      classRank: call.classRank,
      service: call.service,
      mark: call.context.admission,
    });
    this.#updateLevel();
    if (call.signal.aborted) {
      return err(createRefusal(REASONS.cancelled));
    }
    if (this.#mayRun(call.classRank)) {
      return ok(this.#grant(call.classRank, call.context.member));
    }
    return await this.#wait(call);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  get #msPerCall(): number {
    return this.#slots.holdMs / Math.max(1, this.#limit.value);
  }

  get #queueDelayMs(): number {
    return this.#queue.length * this.#msPerCall;
  }

  get #order(): OrderOptions {
    return {
      nowMs: this.#nowMs,
      usage: this.#usage,
      isNewestFirst: this.#queueDelayMs > NEWEST_FIRST_DELAY_MS,
    };
  }

  #wait(call: InboundCall): Promise<Entrance> {
    return new Promise((resolve) => {
      const waiter = this.#createWaiter(call, resolve);
      if (!this.#canRunInTime(waiter)) {
        waiter.settle(this.#refuse(REASONS.overloadedInstance));
        return;
      }
      if (this.#queue.length === 0) {
        this.#queuedSinceMs = this.#nowMs;
      }
      this.#queue.add(waiter);
      this.#markIdle();
    });
  }

  /** Refuses waiting calls that more important ones have pushed back too far. */
  #dismissHopeless(): void {
    const msPerCall = this.#msPerCall;
    let delayMs = 0;
    for (const waiter of this.#queue.listInOrder(this.#order)) {
      delayMs += msPerCall;
      const patienceMs = waiter.expiresAtMs - this.#nowMs;
      if (delayMs > patienceMs * HOPELESS_WAIT_RATIO) {
        delayMs -= msPerCall;
        this.#dismiss(waiter, REASONS.overloadedInstance);
      }
    }
  }

  #canRunInTime(waiter: WaitingCall): boolean {
    const patienceMs = waiter.expiresAtMs - this.#nowMs;
    const delayMs = (this.#queue.countAhead(waiter) + 1) * this.#msPerCall;
    return delayMs <= patienceMs * PROMISED_WAIT_RATIO &&
      this.#queue.length < MAX_WAITING;
  }

  #createWaiter(
    call: InboundCall,
    resolve: (entrance: Entrance) => void,
  ): WaitingCall {
    const nowMs = this.#nowMs;
    const isNested = call.context.depth > 0;
    const patienceMs = computeQueueTimeoutMs(call.deadlineAtMs - nowMs, {
      isNested,
      holdMs: this.#slots.holdMs,
      queuedForMs: this.#queue.length === 0 ? 0 : nowMs - this.#queuedSinceMs,
    });
    const cancelExpiry = this.#options.clock.schedule(
      patienceMs,
      () => this.#dismiss(waiter, REASONS.queueExpired),
    );
    const leave = () => this.#dismiss(waiter, REASONS.cancelled);
    call.signal.addEventListener("abort", leave);
    const waiter: WaitingCall = {
      classRank: call.classRank,
      member: call.context.member,
      isNested,
      arrivedAtMs: nowMs,
      expiresAtMs: nowMs + patienceMs,
      settle: (entrance) => {
        cancelExpiry();
        call.signal.removeEventListener("abort", leave);
        resolve(entrance);
      },
    };
    return waiter;
  }

  #dismiss(waiter: WaitingCall, reason: Reason): void {
    if (this.#queue.remove(waiter)) {
      waiter.settle(this.#refuse(reason));
      this.#markIdle();
    }
  }

  #refuse(reason: Reason): Entrance {
    const waitMs = this.#queueDelayMs + this.#slots.holdMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    return err(createRefusal(reason, { retryAfterMs }));
  }

  #mayRun(classRank: number): boolean {
    const free = this.#limit.value - this.#slots.running.count;
    return free > 0 && free > countReservedSlots(this.#slots.running, {
          classRank,
          limit: this.#limit.value,
          reservedRatios: this.#options.listReservedRatios(),
          countWanted: (rank) =>
            this.#level.countWanted(rank, this.#slots.estimateHoldMs(rank)),
        });
  }

  #grant(classRank: number, member: string): Permit {
    const running = this.#slots.begin(classRank);
    const concurrency = this.#slots.running.count;
    this.#usage.record(member, running.startedAtMs);
    this.#markIdle();
    return {
      release: (use) => {
        this.#slots.end(running, use);
        this.#limit.observe({
          ownDurationMs: use.ownDurationMs,
          isShed: use.isShed,
          isSaturated: this.#queue.length > 0,
          concurrency,
        });
        this.#journal.recordLimit(this.#limit.value, this.#slots.holdMs);
        this.#grantNext();
        this.#updateLevel();
      },
    };
  }

  #grantNext(): void {
    const order = this.#order;
    for (;;) {
      const next = this.#queue.findNext(order, (rank) => this.#mayRun(rank));
      if (!next) {
        break;
      }
      this.#queue.remove(next);
      next.settle(ok(this.#grant(next.classRank, next.member)));
    }
    this.#markIdle();
  }

  #markIdle(): void {
    const isIdle = this.#queue.length === 0 &&
      this.#slots.running.count < this.#limit.value;
    this.#idle.set(isIdle, this.#nowMs);
  }

  #updateLevel(): void {
    const nowMs = this.#nowMs;
    if (!this.#level.isDue(nowMs)) {
      return;
    }
    const reservedRatios = this.#options.listReservedRatios();
    const isUpdated = this.#level.update({
      nowMs,
      demands: () => this.#demand.estimate(nowMs, reservedRatios.length),
      slots: this.#limit.value,
      holdsMs: reservedRatios.map((_, rank) =>
        this.#slots.estimateHoldMs(rank)
      ),
      queueDelayMs: this.#queueDelayMs,
      msPerCall: this.#msPerCall,
      isIdle: () => this.#idle.read(nowMs),
      reservedRatios,
    });
    if (isUpdated) {
      this.#dismissHopeless();
      this.#journal.recordLevel(this.#level.ratios, {
        demandPerSecond: this.#level.demandPerSecond,
        capacityPerSecond: MS_PER_SECOND / this.#msPerCall,
        queueDelayMs: this.#queueDelayMs,
        holdMs: this.#slots.holdMs,
      });
    }
  }
}
