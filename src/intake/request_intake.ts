/**
 * Decides when a request that was read begins.
 *
 * A process that was not run, or was busy, reads requests late, and reads the
 * end of a caller's connection a turn of the event loop after its request. While
 * the loop is late, requests wait until all sockets have been polled once more,
 * and those whose callers have left are dropped. They are then begun in turns of
 * bounded length, between which the loop reads. Those that cannot be begun in
 * time are refused while their callers can still return.
 */

import { LATE_READ_MS, USUAL_UNREAD_MS } from "../event_loop/mod.ts";
import type { EventLoopWatch } from "../event_loop/mod.ts";
import type { DaemonMetrics } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import { WaitingRequests } from "./waiting_requests.ts";
import type { RankedRequest } from "./waiting_requests.ts";

/** Longest time in which requests are begun before the loop reads again, in milliseconds. */
const TURN_MS = 20;

/** Longest time between two turns in which connections are accepted, in milliseconds. */
const MAX_ACCEPT_MS = 20;

/** Most requests that are begun before the loop reads again. */
const MAX_REQUESTS_PER_TURN = 64;

/** Most requests of one read of a connection that begin at once. A read with more brings a backlog, of which some may have been cancelled in the next one. */
const MAX_REQUESTS_PER_READ = 8;

/** Longest wait to be begun, in milliseconds, and the share of its time that a request may spend on it. */
const MAX_WAIT_MS = 750;
const WAIT_RATIO = 0.25;

/** Share of a request's time that is deducted at most for the time in which it may have waited unread. Its caller is still there, so not all of it has passed. */
const MAX_UNREAD_RATIO = 0.5;

/** Shortest delay after which a refused caller is asked to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;

/** Weight of the latest turn in the average time to begin a request. */
const AVERAGE_WEIGHT = 0.2;

/** A request that was read. */
export interface IntakeRequest {
  /** Time that its caller or sender waits, in milliseconds. */
  readonly timeLimitMs: number;
  /** Determines its rank; 0 is the most important. Called only if it has to wait. */
  readonly findRank: () => number;
  /** Whether nobody waits for it any more. */
  readonly isAbandoned: () => boolean;
  /** Begins it, with the time since it arrived as far as known, in milliseconds. */
  readonly begin: (waitedMs: number) => void;
  /** Refuses it, with the time after which its caller should return, in milliseconds. */
  readonly refuse: (retryAfterMs: number) => void;
  /** Ends it without a response. */
  readonly drop: () => void;
}

interface WaitingRequest extends RankedRequest {
  readonly request: IntakeRequest;
  readonly readAtMs: number;
  /** Time for which it may have waited unread, in milliseconds. */
  readonly unreadMs: number;
}

/** Options of a {@link RequestIntake}. */
export interface RequestIntakeOptions {
  readonly clock: Clock;
  readonly eventLoop: EventLoopWatch;
  readonly metrics: DaemonMetrics;
  /** Calls back after the event loop has polled its sockets; `setImmediate` by default. */
  readonly afterPoll?: (callback: () => void) => void;
}

/** Begins requests at once, or in turns while the event loop is late. */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;
  readonly #afterPoll: (callback: () => void) => void;
  /** Requests that the latest poll may have read. */
  #read: WaitingRequest[] = [];
  /** Requests after whose reading the sockets have not been polled once more. */
  #unchecked: WaitingRequest[] = [];
  readonly #waiting = new WaitingRequests<WaitingRequest>();
  #isActive = false;
  #turnStartedAtMs = 0;
  #turnEndedAtMs = 0;
  #begunInTurn = 0;
  /** Requests of the current read that have begun at once. */
  #begunInRead = 0;
  #averageBeginMs = 1;

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
    this.#afterPoll = options.afterPoll ??
      ((callback) => void setImmediate(callback));
  }

  /** Number of requests that wait to be begun. */
  get waitingCount(): number {
    return this.#read.length + this.#unchecked.length + this.#waiting.count;
  }

  /** Whether a request that is read now may begin at once; if so, it counts as begun. */
  tryBegin(unreadMs = this.#options.eventLoop.maxUnreadMs): boolean {
    if (
      unreadMs >= LATE_READ_MS || this.waitingCount > 0 ||
      this.#begunInRead >= MAX_REQUESTS_PER_READ
    ) {
      return false;
    }
    if (this.#begunInRead === 0) {
      // Runs once all requests of the read have been handled.
      queueMicrotask(() => this.#begunInRead = 0);
    }
    this.#begunInRead += 1;
    return true;
  }

  /**
   * Begins a request at once, or when its turn has come.
   *
   * @param request - The request
   * @param unreadMs - Longest time for which it may have waited unread, if more
   *   is known than the delay of the event loop
   */
  submit(
    request: IntakeRequest,
    unreadMs = this.#options.eventLoop.maxUnreadMs,
  ): void {
    if (this.tryBegin(unreadMs)) {
      request.begin(0);
      return;
    }
    const readAtMs = this.#options.clock.monotonicMs();
    const maxWaitMs = Math.min(MAX_WAIT_MS, request.timeLimitMs * WAIT_RATIO);
    this.#read.push({
      request,
      readAtMs,
      unreadMs: unreadMs < LATE_READ_MS ? 0 : Math.min(
        unreadMs - USUAL_UNREAD_MS,
        request.timeLimitMs * MAX_UNREAD_RATIO,
      ),
      rank: request.findRank(),
      expiresAtMs: readAtMs + maxWaitMs,
    });
    if (!this.#isActive) {
      this.#isActive = true;
      this.#turnEndedAtMs = readAtMs;
      this.#afterPoll(() => this.#advance());
    }
  }

  /** Called after polls. What the poll before this one has read may begin: the end of its connection would have been read now. */
  #advance(): void {
    this.#unchecked.forEach((waiting) => this.#waiting.add(waiting));
    this.#unchecked = this.#read;
    this.#read = [];
    if (this.waitingCount === 0) {
      this.#isActive = false;
      return;
    }
    if (this.#waiting.count === 0 || this.#shouldAccept()) {
      this.#afterPoll(() => this.#advance());
      return;
    }
    this.#endOverdue();
    this.#begunInTurn = 0;
    const count = Math.min(this.#waiting.count, MAX_REQUESTS_PER_TURN);
    // Each has a callback of its own, so that what it begins is done before the next one.
    for (let index = 0; index < count; index += 1) {
      this.#afterPoll(() => this.#beginNext());
    }
    this.#afterPoll(() => this.#endTurn());
  }

  /** Whether connections are accepted before the next turn, one in each turn of the loop, so that what waits there is known. */
  #shouldAccept(): boolean {
    const { clock, eventLoop } = this.#options;
    return eventLoop.acceptQueue.isBusy &&
      clock.monotonicMs() - this.#turnEndedAtMs < MAX_ACCEPT_MS;
  }

  /** Ends the requests that have waited too long or whose callers have left. */
  #endOverdue(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const ended = this.#waiting.takeAll(({ request, expiresAtMs }) =>
      expiresAtMs <= nowMs || request.isAbandoned()
    );
    let aheadCount = this.#waiting.count;
    for (const { request } of ended) {
      if (request.isAbandoned()) {
        this.#drop(request);
      } else {
        this.#count("refused");
        // Callers return one after the other, after what waits now.
        const backlogMs = aheadCount * this.#averageBeginMs;
        request.refuse(MIN_RETRY_AFTER_MS + backlogMs);
        aheadCount += 1;
      }
    }
  }

  #beginNext(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#begunInTurn === 0) {
      this.#turnStartedAtMs = nowMs;
    } else if (nowMs - this.#turnStartedAtMs >= TURN_MS) {
      return;
    }
    const next = this.#waiting.takeNext();
    if (!next) {
      return;
    }
    const { request, readAtMs, unreadMs } = next;
    if (request.isAbandoned()) {
      this.#drop(request);
      return;
    }
    this.#begunInTurn += 1;
    this.#count("begun");
    request.begin(unreadMs + nowMs - readAtMs);
  }

  #endTurn(): void {
    this.#turnEndedAtMs = this.#options.clock.monotonicMs();
    if (this.#begunInTurn > 0) {
      const turnMs = this.#turnEndedAtMs - this.#turnStartedAtMs;
      const beginMs = turnMs / this.#begunInTurn;
      this.#averageBeginMs += (beginMs - this.#averageBeginMs) * AVERAGE_WEIGHT;
    }
    this.#afterPoll(() => this.#advance());
  }

  #drop(request: IntakeRequest): void {
    this.#count("dropped");
    request.drop();
  }

  #count(action: "begun" | "dropped" | "refused"): void {
    this.#options.metrics.process.lateRequests.inc({ action });
  }
}
