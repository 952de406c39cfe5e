/**
 * Admission control at the backend server: an adaptive concurrency limit with a
 * short queue, whose calls are refused as soon as they cannot get a slot in time.
 *
 * It also computes the admit ratios that entries should apply.
 */

import { err, ok } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import type { Clock } from "../time/mod.ts";
import { MomentarySlowness } from "../slowness/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";
import { AdmissionJournal } from "./admission_journal.ts";
import type { AdmissionTelemetry } from "./admission_journal.ts";
import { AdmitRatioController } from "./admit_ratio_controller.ts";
import { computeQueueTimeoutMs } from "./compute_queue_timeout_ms.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { countReservedSlots } from "./count_reserved_slots.ts";
import { DemandWindow } from "./demand_window.ts";
import { FairShares } from "./fair_shares.ts";
import type { OpenShare } from "./fair_shares.ts";
import { finishesSoonerElsewhere } from "./finishes_sooner_elsewhere.ts";
import { IdleMeter } from "./idle_meter.ts";
import { InboundAdmission } from "./inbound_admission.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";
import { LateCallMeter } from "./late_call_meter.ts";
import { LoadAverage } from "./load_average.ts";
import { RequestPacer } from "./request_pacer.ts";
import { SlotTracker } from "./slot_tracker.ts";
import { createWaitingCall } from "./waiting_call.ts";
import type { AdmissionResult, WaitingCall } from "./waiting_call.ts";
import { isDisplacedBy, WaitingQueue } from "./waiting_queue.ts";
import type { OrderOptions } from "./waiting_queue.ts";

/** Largest expected queue delay at which a call is enqueued, as a share of its queue timeout. */
const MAX_ENQUEUE_DELAY_RATIO = 0.8;

/** Largest expected queue delay at which a queued call stays, as a share of its remaining queue timeout. */
const MAX_QUEUED_DELAY_RATIO = 1.25;

/** Maximum queue length, whatever the remaining time of the calls. */
const MAX_WAITING = 2_000;

/** Queue delay above which the newest calls go first, in milliseconds. */
const NEWEST_FIRST_DELAY_MS = 100;

/** Lower bound of the suggested retry delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

const MS_PER_SECOND = 1_000;
const PERMILLE = 1_000;

/** Dependencies and settings of the admission. */
export interface AdaptiveAdmissionOptions extends AdmissionTelemetry {
  readonly clock: Clock;
  /** Number that distinguishes this instance from others of its service. */
  readonly instance: number;
  /** Lists the share of the limit reserved for each class, the most important first. */
  readonly listReservedRatios: () => readonly number[];
  /** Whether an account has used up its allowance, so that its calls go last. */
  readonly isAllowanceUsedUp?: ((account: string) => boolean) | undefined;
}

/** Concurrency limit, queue and demand estimate of one backend server. */
export class AdaptiveAdmission extends InboundAdmission {
  readonly #options: AdaptiveAdmissionOptions;
  readonly #limit: ConcurrencyLimit;
  readonly #queue = new WaitingQueue<WaitingCall>();
  readonly #slots: SlotTracker;
  readonly #demand = new DemandWindow();
  readonly #ratioController = new AdmitRatioController();
  readonly #shares = new FairShares();
  readonly #idle = new IdleMeter();
  readonly #lateCalls = new LateCallMeter();
  readonly #load = new LoadAverage();
  readonly #journal: AdmissionJournal;
  readonly #pacer: RequestPacer;
  readonly #slowness = new MomentarySlowness();
  #requestsPerSecond: number | undefined;
  #cancelNextGrant: (() => void) | undefined;
  /** When the queue last became non-empty, in monotonic milliseconds. */
  #queuedSinceMs = 0;

  constructor(options: AdaptiveAdmissionOptions) {
    super();
    this.#options = options;
    this.#limit = new ConcurrencyLimit(options.clock);
    this.#slots = new SlotTracker(options.clock);
    this.#journal = new AdmissionJournal(options);
    this.#pacer = new RequestPacer(options.clock);
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
      this.#queue.listInOrder(this.#order)
        .filter(({ isLastResort }) => !isLastResort)
        .forEach((waiter) =>
          this.#removeWaiter(waiter, REASONS.limitedInstance)
        );
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
    return this.#slowness.read(this.#nowMs);
  }

  override observeSlowness(slownessRatio: number): void {
    this.#slowness.observe(slownessRatio, this.#nowMs);
    this.#journal.recordSlowness(slownessRatio);
    if (slownessRatio > 1 && this.#queue.length > 0) {
      this.#handBackWaiters();
    }
  }

  override describeLoad(service: string): LoadSignal {
    this.#updateAdmitRatios();
    const { ratios, demandPerSecond, lowestRatio } = this.#ratioController;
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

  override async acquire(call: InboundCall): Promise<AdmissionResult> {
    this.#demand.record({
      atMs: this.#nowMs,
      classRank: call.classRank,
      service: call.service,
      mark: call.context.admission,
    });
    this.#updateAdmitRatios();
    if (call.signal.aborted) {
      return err(createRefusal(REASONS.cancelled));
    }
    const { isLimited } = this.#pacer;
    const isNext = !isLimited || this.#queue.length === 0;
    const mayStart = isNext && this.#mayRun(call.classRank);
    const waitMs = mayStart ? 0 : this.#usualQueueDelayMs;
    if (this.#isHandedBack(call.elsewhereMs, waitMs)) {
      return this.#refuse(REASONS.slowInstance);
    }
    if (mayStart) {
      return ok(
        this.#grant(call.classRank, this.#shares.open(call, this.#nowMs)),
      );
    }
    const isTurnedAway = isLimited && !this.#pacer.isOpen && !call.isLastResort;
    return isTurnedAway
      ? this.#refuse(REASONS.limitedInstance)
      : await this.#wait(call);
  }

  get #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  get #msPerCall(): number {
    return Math.max(
      this.#pacer.intervalMs,
      this.#slots.holdMs / Math.max(1, this.#limit.value),
    );
  }

  get #queueDelayMs(): number {
    return this.#queue.length * this.#msPerCall;
  }

  /** Expected wait of a call that arrives now, on a VM that is as fast as usual, in milliseconds. */
  get #usualQueueDelayMs(): number {
    return (this.#queue.length + 1) * this.#slots.usualHoldMs /
      Math.max(1, this.#limit.value);
  }

  get #order(): OrderOptions {
    return {
      holdMs: this.#slots.holdMs,
      isNewestFirst: this.#queueDelayMs > NEWEST_FIRST_DELAY_MS,
    };
  }

  #wait(call: InboundCall): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const waiter = this.#createWaiter(call, resolve);
      this.#lateCalls.recordArrival(waiter);
      if (!this.#canRunInTime(waiter) || !this.#makeRoom(waiter)) {
        this.#settleLate(waiter, REASONS.overloadedInstance);
        return;
      }
      if (this.#queue.length === 0) {
        this.#queuedSinceMs = this.#nowMs;
      }
      this.#queue.add(waiter);
      this.#scheduleNextGrant();
      this.#updateIdleMeter();
    });
  }

  /** Refuses waiting calls that more important ones have delayed too long. */
  #refuseLateWaiters(): void {
    const msPerCall = this.#msPerCall;
    let delayMs = 0;
    for (const waiter of this.#queue.listInOrder(this.#order)) {
      delayMs += msPerCall;
      const remainingMs = waiter.expiresAtMs - this.#nowMs;
      if (delayMs > remainingMs * MAX_QUEUED_DELAY_RATIO) {
        delayMs -= msPerCall;
        this.#removeWaiter(waiter, REASONS.overloadedInstance);
      }
    }
  }

  /** Whether a call would finish sooner elsewhere; never without a fresh slowness figure. */
  #isHandedBack(elsewhereMs: number | undefined, waitMs: number): boolean {
    const nowMs = this.#nowMs;
    return elsewhereMs !== undefined && this.#slowness.isStated(nowMs) &&
      finishesSoonerElsewhere({
        waitMs,
        usualHoldMs: this.#slots.usualHoldMs,
        slownessRatio: this.#slowness.getRatio(nowMs),
        elsewhereMs,
      });
  }

  /** Hands back the waiting calls that would now finish sooner elsewhere. */
  #handBackWaiters(): void {
    const msPerCall = this.#slots.usualHoldMs / Math.max(1, this.#limit.value);
    let waitMs = 0;
    for (const waiter of this.#queue.listInOrder(this.#order)) {
      waitMs += msPerCall;
      if (this.#isHandedBack(waiter.elsewhereMs, waitMs)) {
        waitMs -= msPerCall;
        this.#removeWaiter(waiter, REASONS.slowInstance);
      }
    }
  }

  #canRunInTime(waiter: WaitingCall): boolean {
    const remainingMs = waiter.expiresAtMs - this.#nowMs;
    const ahead = this.#queue.countAhead(waiter, this.#slots.holdMs);
    const delayMs = (ahead + 1) * this.#msPerCall;
    return delayMs <= remainingMs * MAX_ENQUEUE_DELAY_RATIO;
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

  #createWaiter(
    call: InboundCall,
    resolve: (result: AdmissionResult) => void,
  ): WaitingCall {
    const nowMs = this.#nowMs;
    const isNested = call.context.depth > 0;
    const timeoutMs = computeQueueTimeoutMs(call.deadlineAtMs - nowMs, {
      isNested,
      holdMs: this.#slots.holdMs,
      queuedForMs: this.#queue.length === 0 ? 0 : nowMs - this.#queuedSinceMs,
    });
    const cancelExpiry = this.#options.clock.schedule(
      timeoutMs,
      () => this.#removeWaiter(waiter, REASONS.queueExpired),
    );
    const cancelWait = () => this.#removeWaiter(waiter, REASONS.cancelled);
    call.signal.addEventListener("abort", cancelWait);
    const { isAllowanceUsedUp } = this.#options;
    const waiter = createWaitingCall(call, {
      open: this.#shares.open(call, nowMs),
      nowMs,
      timeoutMs,
      isOverAllowance: isAllowanceUsedUp?.(call.context.member) ?? false,
      settle: (result) => {
        cancelExpiry();
        call.signal.removeEventListener("abort", cancelWait);
        resolve(result);
      },
    });
    return waiter;
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
      this.#lateCalls.recordLate(waiter);
    }
    waiter.settle(this.#refuse(this.#selectReason(reason)));
  }

  /** A call that waits in vain under a limit shows no overload. */
  #selectReason(reason: Reason): Reason {
    return this.#pacer.isLimited && reason !== REASONS.cancelled
      ? REASONS.limitedInstance
      : reason;
  }

  #refuse(reason: Reason): AdmissionResult {
    if (reason === REASONS.limitedInstance) {
      const retryAfterMs = Math.ceil(this.#pacer.intervalMs);
      return err(createRefusal(reason, { retryAfterMs }));
    }
    if (reason === REASONS.slowInstance) {
      this.#journal.recordHandBack({
        slownessRatio: this.#slowness.getRatio(this.#nowMs),
        waiting: this.#queue.length,
        usualHoldMs: this.#slots.usualHoldMs,
      });
    }
    const waitMs = this.#queueDelayMs + this.#slots.holdMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    return err(createRefusal(reason, { retryAfterMs }));
  }

  #mayRun(classRank: number): boolean {
    const limit = Math.min(
      this.#limit.value,
      this.#pacer.maxConcurrentRequests,
    );
    const freeSlots = limit - this.#slots.running.count;
    return freeSlots > 0 && this.#pacer.isOpen &&
      freeSlots > countReservedSlots(this.#slots.running, {
          classRank,
          limit,
          reservedRatios: this.#options.listReservedRatios(),
          countNeededSlots: (rank) =>
            this.#ratioController.countNeededSlots(
              rank,
              this.#slots.estimateHoldMs(rank),
            ),
        });
  }

  #grant(classRank: number, { clock, share, kind }: OpenShare): Permit {
    const holdMs = this.#slots.estimateHoldMs(classRank);
    const running = this.#slots.begin(classRank);
    this.#pacer.take();
    const concurrency = this.#slots.running.count;
    clock.charge(share, { nowMs: running.startedAtMs, holdMs });
    this.#updateIdleMeter();
    return {
      release: (completion) => {
        const slownessRatio = this.#slowness.getRatio(this.#nowMs);
        this.#slots.end(running, { ...completion, slownessRatio });
        clock.close(share, completion.durationMs - holdMs);
        // Under a limit of requests, calls tell nothing of how many slots there are.
        if (!this.#pacer.isLimited) {
          this.#limit.observe({
            // A VM that is slow at the moment says nothing of the right limit.
            ownDurationMs: completion.ownDurationMs / slownessRatio,
            isShed: completion.isShed,
            isSaturated: this.#queue.length > 0,
            concurrency,
            kind,
          });
        }
        this.#journal.recordLimit(this.#limit.value, this.#slots.holdMs);
        this.#grantNext();
        this.#updateAdmitRatios();
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
      next.settle(ok(this.#grant(next.classRank, next.open)));
    }
    this.#scheduleNextGrant();
    this.#updateIdleMeter();
  }

  /** Wakes the queue when the pace lets the next call pass. */
  #scheduleNextGrant(): void {
    this.#cancelNextGrant?.();
    this.#cancelNextGrant = undefined;
    if (this.#queue.length > 0 && !this.#pacer.isOpen) {
      this.#cancelNextGrant = this.#options.clock.schedule(
        this.#pacer.delayMs,
        () => this.#grantNext(),
      );
    }
  }

  #updateIdleMeter(): void {
    const isIdle = this.#queue.length === 0 &&
      this.#slots.running.count < this.#limit.value;
    this.#idle.set(isIdle, this.#nowMs);
    const calls = this.#slots.running.count + this.#queue.length;
    this.#load.set(calls / Math.max(1, this.#limit.value), this.#nowMs);
  }

  #updateAdmitRatios(): void {
    const nowMs = this.#nowMs;
    if (!this.#ratioController.isDue(nowMs)) {
      return;
    }
    const reservedRatios = this.#options.listReservedRatios();
    const isUpdated = this.#ratioController.update({
      nowMs,
      demands: () => this.#demand.estimate(nowMs, reservedRatios.length),
      slots: this.#limit.value,
      holdTimesMs: reservedRatios.map((_, rank) =>
        this.#slots.estimateHoldMs(rank)
      ),
      queueDelayMs: this.#queueDelayMs,
      msPerCall: this.#msPerCall,
      isIdle: () => this.#idle.read(nowMs),
      reservedRatios,
      usableRatio: this.#lateCalls.update(nowMs),
      refusesUnseen: this.#lateCalls.hasAccounts,
    });
    if (isUpdated) {
      this.#refuseLateWaiters();
      this.#journal.recordAdmitRatios(this.#ratioController.ratios, {
        demandPerSecond: this.#ratioController.demandPerSecond,
        capacityPerSecond: MS_PER_SECOND / this.#msPerCall,
        queueDelayMs: this.#queueDelayMs,
        holdMs: this.#slots.holdMs,
      });
    }
  }
}
