/**
 * Load of many entries with little traffic each, in front of one scarce service
 * that all requests need.
 */

import type { EntryAdmission } from "../admission/mod.ts";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import { RandomSource } from "../time/mod.ts";
import type { ManualClock } from "./manual_clock.ts";
import { ScarceServiceSignals } from "./scarce_service_signals.ts";

/** A kind of request and its rate in the whole fleet. */
export interface LoadKind {
  readonly request: CompiledRequest;
  readonly requestsPerSecond: number;
}

/** A period with a constant capacity of the scarce service. */
export interface LoadPhase {
  readonly durationMs: number;
  /** Requests that the scarce service can serve, in multiples of the offered rate. */
  readonly capacityRatio: number;
  /** Share of the calls that the scarce service fails regardless of its load; 0 by default. */
  readonly failureRatio?: number;
}

/** Counts of one interval of {@link INTERVAL_MS}. */
export interface LoadInterval {
  readonly offered: Record<string, number>;
  readonly served: Record<string, number>;
  admitted: number;
  wasted: number;
  capacity: number;
}

/** Length of the intervals in which requests are counted, in milliseconds. */
export const INTERVAL_MS = 500;

/** Length of a step of the simulation, in milliseconds. */
const STEP_MS = 25;

/** Time that a request waits at the scarce service before it fails, in milliseconds. */
const MAX_WAIT_MS = 100;

/** Time from the admission of a request to its arrival at the scarce service, and back, in milliseconds. */
const WAY_MS = 250;

interface RunningRequest {
  readonly entry: number;
  readonly kind: LoadKind;
  readonly interval: LoadInterval;
  readonly mark: AdmissionMark | undefined;
  /** When it arrives at the scarce service, or its outcome at the entry. */
  readonly atMs: number;
}

interface EndingRequest extends RunningRequest {
  readonly isServed: boolean;
  /** Load signal of the scarce service that the reply carries. */
  readonly signal: LoadSignal;
}

/** Options of {@link runManyEntries}. */
export interface ManyEntriesOptions {
  readonly clock: ManualClock;
  readonly entries: readonly EntryAdmission[];
  readonly kinds: readonly LoadKind[];
  readonly phases: readonly LoadPhase[];
  readonly seed: number;
}

/**
 * Runs the phases one after another. The scarce service serves the more important
 * requests first and fails those that waited too long. Each reply carries its load
 * signal to the entry.
 *
 * @param options - Entries, kinds, phases and the seed of the arrivals
 * @returns The counts of all intervals, in order
 *
 * @example
 * const intervals = runManyEntries({ clock, entries, kinds, phases, seed: 1 });
 */
export function runManyEntries(
  { clock, entries, kinds, phases, seed }: ManyEntriesOptions,
): LoadInterval[] {
  const random = new RandomSource(seed);
  const offeredPerSecond = kinds.reduce(
    (sum, { requestsPerSecond }) => sum + requestsPerSecond,
    0,
  );
  const intervals: LoadInterval[] = [];
  const underway: RunningRequest[] = [];
  const ending: EndingRequest[] = [];
  const signals = new ScarceServiceSignals(
    kinds[0]?.request.service ?? "",
    1 + Math.max(...kinds.map(({ request }) => request.classRank)),
  );
  let waiting: RunningRequest[] = [];
  let remainder = 0;
  for (const { durationMs, capacityRatio, failureRatio = 0 } of phases) {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      if (elapsedMs % INTERVAL_MS === 0) {
        intervals.push(createInterval());
      }
      const interval = intervals.at(-1) ?? createInterval();
      const nowMs = clock.monotonicMs();
      for (const kind of kinds) {
        const count = drawCount(
          random,
          kind.requestsPerSecond * STEP_MS / 1_000,
        );
        for (let index = 0; index < count; index += 1) {
          admitOne({
            entries,
            kind,
            interval,
            underway,
            entry: random.nextInteger(entries.length),
            atMs: nowMs + WAY_MS,
          });
        }
      }
      const capacity = offeredPerSecond * capacityRatio * STEP_MS / 1_000;
      interval.capacity += capacity;
      remainder = Math.min(remainder, 1) + capacity;
      const arrived = takeDue(underway, nowMs);
      arrived.forEach(({ kind, mark }) =>
        signals.recordArrival(kind.request.classRank, { atMs: nowMs, mark })
      );
      waiting.push(...arrived);
      waiting.sort((left, right) =>
        left.kind.request.classRank - right.kind.request.classRank ||
        left.atMs - right.atMs
      );
      const started = waiting.splice(0, Math.floor(remainder));
      remainder -= started.length;
      const expired = waiting.filter(({ atMs }) => atMs < nowMs - MAX_WAIT_MS);
      waiting = waiting.filter(({ atMs }) => atMs >= nowMs - MAX_WAIT_MS);
      expired.forEach(() => signals.recordLate());
      const endAtMs = nowMs + WAY_MS;
      const signal = signals.update({
        ...{ nowMs, waiting: waiting.length },
        capacityPerSecond: offeredPerSecond * capacityRatio,
        unusedRatio: remainder / Math.max(1, capacity),
      });
      ending.push(
        ...started.map((request) => ({
          ...request,
          signal,
          isServed: random.nextFloat() >= failureRatio,
          atMs: endAtMs,
        })),
        ...expired.map((request) => ({
          ...request,
          signal,
          isServed: false,
          atMs: endAtMs,
        })),
      );
      for (
        const { entry, kind, isServed, interval: start, signal } of takeDue(
          ending,
          nowMs,
        )
      ) {
        entries[entry]?.observe([signal]);
        entries[entry]?.recordOutcome(kind.request, { member: "", isServed });
        const { name } = kind.request;
        start.served[name] = (start.served[name] ?? 0) + Number(isServed);
        start.wasted += Number(!isServed);
      }
      clock.advance(STEP_MS);
    }
  }
  return intervals;
}

function admitOne(
  { entries, kind, interval, underway, entry, atMs }: {
    readonly entries: readonly EntryAdmission[];
    readonly kind: LoadKind;
    readonly interval: LoadInterval;
    readonly underway: RunningRequest[];
    readonly entry: number;
    readonly atMs: number;
  },
): void {
  const { request } = kind;
  interval.offered[request.name] = (interval.offered[request.name] ?? 0) + 1;
  const grant = entries[entry]?.check({ request, member: "", requestId: "" });
  if (grant?.isOk()) {
    interval.admitted += 1;
    underway.push({ entry, kind, interval, atMs, mark: grant.value.mark });
  }
}

function createInterval(): LoadInterval {
  return { offered: {}, served: {}, admitted: 0, wasted: 0, capacity: 0 };
}

/** Draws the number of arrivals in a step, with the given mean. */
function drawCount(random: RandomSource, mean: number): number {
  let count = 0;
  let product = random.nextFloat();
  const limit = Math.exp(-mean);
  while (product > limit) {
    count += 1;
    product *= random.nextFloat();
  }
  return count;
}

function takeDue<T extends { readonly atMs: number }>(
  pending: T[],
  nowMs: number,
): T[] {
  const firstLater = pending.findIndex(({ atMs }) => atMs > nowMs);
  return pending.splice(0, firstLater < 0 ? pending.length : firstLater);
}
