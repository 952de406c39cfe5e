/**
 * Admission control at the backend server: an adaptive concurrency limit with a
 * short queue, whose calls are refused as soon as they cannot get a slot in time.
 *
 * It also computes the admit ratios that entries should apply.
 */

import { err, ok } from "neverthrow";
import { IDLE_PROCESSOR } from "../event_loop/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";
import type { AdaptiveAdmissionOptions } from "./adaptive_admission_options.ts";
import { AdmissionJournal } from "./admission_journal.ts";
import { AdmissionRefuser } from "./admission_refuser.ts";
import { AdmitRatioUpdater } from "./admit_ratio_updater.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { createLoadSignal } from "./create_load_signal.ts";
import { FairShares } from "./fair_shares.ts";
import { HandBackDecider } from "./hand_back_decider.ts";
import { InboundAdmission } from "./inbound_admission.ts";
import type { InboundCall } from "./inbound_admission.ts";
import { LoadAverage } from "./load_average.ts";
import { PaceTimer } from "./pace_timer.ts";
import { QueueEstimator } from "./queue_estimator.ts";
import { RequestPacer } from "./request_pacer.ts";
import { SlotGate } from "./slot_gate.ts";
import { SlotGrants } from "./slot_grants.ts";
import { SlotTracker } from "./slot_tracker.ts";
import { TimeLeftEstimator } from "./time_left_estimator.ts";
import type { AdmissionResult, WaitingCall } from "./waiting_call.ts";
import { WaiterFactory } from "./waiter_factory.ts";
import { isDisplacedBy, WaitingQueue } from "./waiting_queue.ts";

/** Maximum queue length, whatever the remaining time of the calls. */
const MAX_WAITING = 2_000;

/** Concurrency limit, queue and demand estimate of one backend server. */
export class AdaptiveAdmission extends InboundAdmission {
  readonly #options: AdaptiveAdmissionOptions;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = new WaitingQueue<WaitingCall>();
  readonly #slots: SlotTracker;
  readonly #timeLeft = new TimeLeftEstimator();
  readonly #shares = new FairShares();
  readonly #load = new LoadAverage();
  readonly #journal: AdmissionJournal;
  readonly #pacer: RequestPacer;
  readonly #estimator: QueueEstimator;
  readonly #handBacks: HandBackDecider;
  readonly #ratios: AdmitRatioUpdater;
  readonly #gate: SlotGate;
  readonly #waiters: WaiterFactory;
  readonly #refuser: AdmissionRefuser;
  readonly #grants: SlotGrants;
  readonly #paceTimer: PaceTimer;
  #requestsPerSecond: number | undefined;
  /** When the queue last became non-empty, in monotonic milliseconds. */
  #queuedSinceMs = 0;

  constructor(options: AdaptiveAdmissionOptions) {
    super();
    this.#options = options;
    const { clock, isAllowanceUsedUp, listReservedRatios } = options;
    const { processor = IDLE_PROCESSOR } = options;
    const queue = this.#queue;
    const limit = this.#limit = new ConcurrencyLimit(clock);
    const slots = this.#slots = new SlotTracker(clock);
    const journal = this.#journal = new AdmissionJournal(options);
    const pacer = this.#pacer = new RequestPacer(clock);
    const timeLeft = this.#timeLeft;
    const sources = { limit, pacer, queue, slots, timeLeft };
    const estimator = this.#estimator = new QueueEstimator(sources);
    this.#handBacks = new HandBackDecider({ estimator, queue, slots });
    this.#ratios = new AdmitRatioUpdater({
      ...{ estimator, journal, limit, listReservedRatios, processor, slots },
    });
    this.#gate = new SlotGate({
      ...{ limit, listReservedRatios, pacer, slots },
      ratioController: this.#ratios.controller,
    });
    this.#waiters = new WaiterFactory({
      ...{ clock, isAllowanceUsedUp, slots },
      shares: this.#shares,
      remove: (waiter, reason) => this.#removeWaiter(waiter, reason),
    });
    const onOpen = () => this.#grantNext();
    this.#paceTimer = new PaceTimer({ clock, onOpen, pacer, queue });
    const { slowness } = this.#handBacks;
    this.#refuser = new AdmissionRefuser({
      ...{ clock, estimator, journal, pacer, queue, slots, slowness },
    });
    this.#grants = new SlotGrants({
      ...{ clock, journal, limit, pacer, queue, slots, slowness },
      onGranted: () => {
        this.#ratios.processorCapacity.recordBegin();
        this.#updateIdleMeter();
      },
      onReleased: () => {
        this.#ratios.processorCapacity.recordEnd();
        this.#grantNext();
        this.#updateAdmitRatios();
      },
    });
  }

  override get pendingCalls(): number {
    return this.#slots.running.count + this.#queue.length;
  }

  override setCapacity(slots: number): void {
    this.#limit.setCeiling(slots);
    this.#journal.recordLimit(this.#limit.value, this.#slots.holdMs);
    this.#grantNext();
  }

  override get requestsPerSecond(): number | undefined {
    return this.#requestsPerSecond;
  }

  override setRequestRate(requestsPerSecond: number | undefined): void {
    if (
      requestsPerSecond === this.#requestsPerSecond &&
      !this.#pacer.isUnconfirmed
    ) {
      return;
    }
    this.#requestsPerSecond = requestsPerSecond;
    this.#pacer.setLimit(requestsPerSecond);
    if (this.#pacer.isLimited) {
      const waiters = this.#queue.listInOrder(this.#estimator.order)
        .filter(({ isLastResort }) => !isLastResort);
      this.#removeWaiters(waiters, REASONS.limitedInstance);
    }
    this.#grantNext();
  }

  override awaitFirstStatement(): void {
    this.#requestsPerSecond = undefined;
    this.#pacer.awaitFirstResponse();
  }

  override get averageLoad(): number {
    return this.#load.read(this.#nowMs);
  }

  override get slowness(): StatedSlowness | undefined {
    return this.#handBacks.slowness.read(this.#nowMs);
  }

  override observeSlowness(slownessRatio: number): void {
    this.#handBacks.slowness.observe(slownessRatio, this.#nowMs);
    this.#journal.recordSlowness(slownessRatio);
    if (slownessRatio > 1 && this.#queue.length > 0) {
      const waiters = this.#handBacks.listHandedBack(this.#nowMs);
      this.#removeWaiters(waiters, REASONS.slowInstance);
    }
  }

  override handBackWaiting(): void {
    const waiters = this.#queue.listInOrder(this.#estimator.order);
    this.#removeWaiters(waiters, REASONS.leaving);
  }

  override describeLoad(service: string): LoadSignal {
    this.#updateAdmitRatios();
    return createLoadSignal({
      service,
      inFlight: this.#slots.running.count,
      queued: this.#queue.length,
      limit: this.#limit.value,
      instance: this.#options.instance,
      sequence: Math.floor(this.#options.clock.nowMs()),
    }, this.#ratios.controller);
  }

  override async acquire(call: InboundCall): Promise<AdmissionResult> {
    this.#ratios.demand.record({
      atMs: this.#nowMs,
      classRank: call.classRank,
      service: call.service,
      mark: call.context.admission,
    });
    if (call.context.depth > 0) {
      this.#timeLeft.record(call.deadlineAtMs - this.#nowMs);
    }
    this.#updateAdmitRatios();
    if (call.signal.aborted) {
      return err(createRefusal(REASONS.cancelled));
    }
    const { isLimited } = this.#pacer;
    const isNext = !isLimited || this.#queue.length === 0;
    const mayStart = isNext && this.#gate.mayRun(call.classRank);
    const waitMs = mayStart ? 0 : this.#estimator.usualDelayMs;
    if (this.#handBacks.isHandedBack(call, { waitMs, nowMs: this.#nowMs })) {
      return this.#refuser.refuse(REASONS.slowInstance);
    }
    if (mayStart) {
      const { classRank, context } = call;
      const open = this.#shares.open(call, this.#nowMs);
      const isNested = context.depth > 0;
      return ok(this.#grants.grant({ classRank, isNested, open }));
    }
    const isTurnedAway = isLimited && !this.#pacer.isOpen && !call.isLastResort;
    return isTurnedAway
      ? this.#refuser.refuse(REASONS.limitedInstance)
      : await this.#wait(call);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  #wait(call: InboundCall): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const queuedForMs = this.#queue.length === 0
        ? 0
        : this.#nowMs - this.#queuedSinceMs;
      const waiter = this.#waiters.create(call, { queuedForMs, resolve });
      this.#ratios.lateCalls.recordArrival(waiter);
      if (
        !this.#estimator.canRunInTime(waiter, this.#nowMs) ||
        !this.#makeRoom(waiter)
      ) {
        this.#settleLate(waiter, REASONS.overloadedInstance);
        return;
      }
      if (this.#queue.length === 0) {
        this.#queuedSinceMs = this.#nowMs;
      }
      this.#queue.add(waiter);
      this.#paceTimer.update();
      this.#updateIdleMeter();
    });
  }

  /** Makes room in a full queue at the expense of the account with the most calls. */
  #makeRoom(waiter: WaitingCall): boolean {
    if (this.#queue.length < MAX_WAITING) {
      return true;
    }
    const last = this.#queue.findLast(this.#slots.holdMs);
    if (!last || !isDisplacedBy(last, waiter)) {
      return false;
    }
    this.#journal.recordDisplacement(last, waiter);
    this.#removeWaiter(last, REASONS.overloadedInstance);
    return true;
  }

  #removeWaiters(waiters: readonly WaitingCall[], reason: Reason): void {
    waiters.forEach((waiter) => this.#removeWaiter(waiter, reason));
  }

  #removeWaiter(waiter: WaitingCall, reason: Reason): void {
    if (this.#queue.remove(waiter)) {
      this.#settleLate(waiter, reason);
      this.#updateIdleMeter();
    }
  }

  #settleLate(waiter: WaitingCall, reason: Reason): void {
    if (
      reason === REASONS.overloadedInstance || reason === REASONS.queueExpired
    ) {
      this.#ratios.lateCalls.recordLate(waiter);
      this.#journal.recordUnservedWait(waiter);
    }
    waiter.settle(this.#refuser.refuseWaiter(reason));
  }

  #grantNext(): void {
    const { order } = this.#estimator;
    const mayRun = (rank: number) => this.#gate.mayRun(rank);
    for (;;) {
      const next = this.#queue.findNext(order, mayRun);
      if (!next) {
        break;
      }
      this.#queue.take(next);
      next.settle(ok(this.#grants.grant(next)));
    }
    this.#paceTimer.update();
    this.#updateIdleMeter();
  }

  #updateIdleMeter(): void {
    const isIdle = this.#queue.length === 0 &&
      this.#slots.running.count < this.#limit.value;
    this.#ratios.idle.set(isIdle, this.#nowMs);
    const calls = this.#slots.running.count + this.#queue.length;
    this.#load.set(calls / Math.max(1, this.#limit.value), this.#nowMs);
  }

  #updateAdmitRatios(): void {
    this.#ratios.update(this.#nowMs, () => {
      const waiters = this.#estimator.listLate(this.#nowMs);
      this.#removeWaiters(waiters, REASONS.overloadedInstance);
    });
  }
}
