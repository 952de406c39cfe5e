/**
 * Measurement of how late the event loop of this process is.
 *
 * What is read from a socket may have arrived long before, if the process was
 * not run or was busy. The system tells no arrival time, but all sockets are
 * polled between two ticks of a timer: what is read now arrived after the tick
 * before the last one.
 */

import process from "node:process";
import type { Clock } from "../time/mod.ts";
import { AcceptWatch } from "./accept_watch.ts";
import { CollectionTimer } from "./collection_timer.ts";
import { LoopLoad } from "./loop_load.ts";

/** Interval of the ticks, in milliseconds. */
export const TICK_MS = 50;

/** Longest age of what is read without any delay, in milliseconds. */
export const USUAL_UNREAD_MS = 2 * TICK_MS;

/** Age from which on what is read counts as late, in milliseconds. */
export const LATE_READ_MS = 150;

/** Delay of a tick from which on it is reported, in milliseconds. */
const REPORTED_DELAY_MS = 200;

/** Ticks between two samples of the processor time. */
const TICKS_PER_SAMPLE = 10;

const MICROSECONDS_PER_MS = 1_000;

/** What the daemon has read and lost since its start. */
export interface LoopWork {
  /** Heads of callers' requests that were read. */
  requestsRead: number;
  /** Calls of other daemons that were read. */
  callsRead: number;
  /** Requests whose callers left before the response was sent. */
  requestsAbandoned: number;
}

/** One delay of the event loop. */
export interface LoopDelay extends Readonly<LoopWork> {
  /** Time by which the tick was late, in milliseconds. */
  readonly lateMs: number;
  /** Span to which the following fields refer, in milliseconds; it ends a tick after the delay. */
  readonly spanMs: number;
  /** Processor time that the process used in the span, in milliseconds. */
  readonly processorMs: number;
  /** Time that garbage collections took in the span, in milliseconds. */
  readonly collectionMs: number;
}

/** Options of an {@link EventLoopWatch}. */
export interface EventLoopWatchOptions {
  readonly clock: Clock;
  /** Returns the processor time that the process has used, in milliseconds. */
  readonly readProcessorMs?: () => number;
}

interface Sample extends Readonly<LoopWork> {
  readonly atMs: number;
  readonly processorMs: number;
  readonly collectionMs: number;
}

/** Watches the event loop by a periodic timer. */
export class EventLoopWatch {
  /** Counts that the parts of the daemon increment. */
  readonly work: LoopWork = {
    requestsRead: 0,
    callsRead: 0,
    requestsAbandoned: 0,
  };
  /** Queue of connections of callers. */
  readonly acceptQueue: AcceptWatch;
  /** How busy the loop is. */
  readonly load = new LoopLoad();
  readonly #clock: Clock;
  readonly #readProcessorMs: () => number;
  readonly #collections = new CollectionTimer();
  #tickAtMs: number;
  #previousTickAtMs: number;
  #sample: Sample;
  #ticksSinceSample = 0;
  /** Delay that is reported at the next tick, when what waited has been read. */
  #delayMs: number | undefined;
  #maxDelayMs = 0;
  #stop: (() => void) | undefined;
  #report: (delay: LoopDelay) => void = () => undefined;

  constructor({ clock, readProcessorMs = readUsage }: EventLoopWatchOptions) {
    this.acceptQueue = new AcceptWatch({ clock });
    this.#clock = clock;
    this.#readProcessorMs = readProcessorMs;
    this.#tickAtMs = clock.monotonicMs();
    this.#previousTickAtMs = this.#tickAtMs;
    this.#sample = this.#takeSample(this.#tickAtMs);
  }

  /** Starts the ticks, and calls `report` after each long delay. */
  start(report: (delay: LoopDelay) => void): void {
    this.#report = report;
    this.#tickAtMs = this.#clock.monotonicMs();
    this.#previousTickAtMs = this.#tickAtMs;
    this.#collections.start();
    this.#stop ??= this.#clock.scheduleEvery(TICK_MS, () => this.#tick());
  }

  /** Stops the ticks; from then on nothing counts as late. */
  stop(): void {
    this.#stop?.();
    this.#stop = undefined;
    this.#collections.stop();
  }

  /** Longest time for which something that is read now may have waited to be read, in milliseconds. */
  get maxUnreadMs(): number {
    return this.#stop
      ? Math.max(0, this.#clock.monotonicMs() - this.#previousTickAtMs)
      : 0;
  }

  /** Time that counts for something that is read now, in milliseconds: the longest for which it may have waited, or 0 if that is no longer than without a delay. */
  get lateReadMs(): number {
    const { maxUnreadMs } = this;
    return maxUnreadMs < LATE_READ_MS ? 0 : maxUnreadMs;
  }

  /** Returns the longest delay of a tick since the last call, in milliseconds. */
  takeMaxDelayMs(): number {
    const delayMs = this.#maxDelayMs;
    this.#maxDelayMs = 0;
    return delayMs;
  }

  #tick(): void {
    const nowMs = this.#clock.monotonicMs();
    const lateMs = nowMs - this.#tickAtMs - TICK_MS;
    this.load.record(lateMs);
    this.#previousTickAtMs = this.#tickAtMs;
    this.#tickAtMs = nowMs;
    this.#ticksSinceSample += 1;
    if (lateMs > this.#maxDelayMs) {
      this.#maxDelayMs = lateMs;
    }
    const reportedMs = this.#delayMs;
    this.#delayMs = lateMs >= REPORTED_DELAY_MS ? lateMs : undefined;
    if (
      reportedMs !== undefined || (this.#delayMs === undefined &&
        this.#ticksSinceSample >= TICKS_PER_SAMPLE)
    ) {
      const from = this.#sample;
      this.#sample = this.#takeSample(nowMs);
      this.#ticksSinceSample = 0;
      if (reportedMs !== undefined) {
        this.#report(describeDelay(reportedMs, from, this.#sample));
      }
    }
  }

  #takeSample(atMs: number): Sample {
    return {
      ...this.work,
      atMs,
      processorMs: this.#readProcessorMs(),
      collectionMs: this.#collections.totalMs,
    };
  }
}

function describeDelay(lateMs: number, from: Sample, to: Sample): LoopDelay {
  return {
    lateMs,
    spanMs: to.atMs - from.atMs,
    processorMs: to.processorMs - from.processorMs,
    collectionMs: to.collectionMs - from.collectionMs,
    requestsRead: to.requestsRead - from.requestsRead,
    callsRead: to.callsRead - from.callsRead,
    requestsAbandoned: to.requestsAbandoned - from.requestsAbandoned,
  };
}

function readUsage(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}
