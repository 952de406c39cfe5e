import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CompiledRequest } from "../configuration/mod.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { DeepChainLoad } from "../testing/deep_chain_load.ts";
import type { ChainCount } from "../testing/deep_chain_load.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { computeQueueTimeoutMs } from "./compute_queue_timeout_ms.ts";
import { ThrottledEntryAdmission } from "./throttled_entry_admission.ts";

const ENTRIES = 17;
const NORMAL_DEMAND = 0.6;
const SURGE_START_S = 2;
const SURGE_END_S = 16;
const DURATION_S = 24;

/** First counted second of the surge; the seconds before are the transition. */
const COUNTED_FROM_S = 4;

function createRequest(name: string, classRank: number): CompiledRequest {
  return {
    ...{ name, classRank, className: name, service: "deep" },
    path: [] as readonly string[],
  } as CompiledRequest;
}

const KINDS = [
  { request: createRequest("delivery", 0), share: 0.26 },
  { request: createRequest("rounds", 2), share: 0.74 },
];

/** Returns the share of requests answered in time, by kind, in a range of seconds. */
type ShareReader = (fromS: number, toS: number) => number[];

function runScenario(
  demand: number,
  computeTimeoutMs: typeof computeQueueTimeoutMs = computeQueueTimeoutMs,
): ShareReader {
  const clock = new ManualClock();
  const entries = Array.from(
    { length: ENTRIES },
    (_, index) =>
      new ThrottledEntryAdmission({
        clock,
        random: new RandomSource(index + 1),
        journal: new DecisionJournal(clock),
        metrics: new DaemonMetrics(),
        readLowestRank: () => 2,
      }),
  );
  const counts = new DeepChainLoad({
    ...{
      clock,
      entries,
      kinds: KINDS,
      seed: 3,
      computeQueueTimeoutMs: computeTimeoutMs,
    },
    durationMs: DURATION_S * 1_000,
    computeDemand: (atMs) =>
      atMs >= SURGE_START_S * 1_000 && atMs < SURGE_END_S * 1_000
        ? demand
        : NORMAL_DEMAND,
  }).run();
  return (fromS, toS) =>
    counts.map((seconds) => computeShare(seconds.slice(fromS, toS)));
}

function computeShare(seconds: readonly ChainCount[]): number {
  const offered = seconds.reduce((sum, each) => sum + each.offered, 0);
  const served = seconds.reduce((sum, each) => sum + each.served, 0);
  return served / Math.max(1, offered);
}

/** Lets calls wait as long as they can still finish in time, whatever the queue. */
function computeUncappedTimeoutMs(
  remainingMs: number,
  options: Parameters<typeof computeQueueTimeoutMs>[1],
): number {
  return computeQueueTimeoutMs(remainingMs, { ...options, queuedForMs: 0 });
}

for (const demand of [1.3, 1.7, 2.5]) {
  /** A small service that each request calls four times is overloaded for longer than a burst. */
  test(`serves the important kind and uses most of the remaining capacity at ${demand} times the capacity`, () => {
    const [important = 0, other = 0] = runScenario(demand)(
      COUNTED_FROM_S,
      SURGE_END_S,
    );
    const fits = (1 - demand * 0.26) / (demand * 0.74);
    assert.ok(important > 0.99, `${important} of the important kind served`);
    assert.ok(
      other > fits * 0.7,
      `${other} of the other kind served, ${fits} would fit`,
    );
    const [, uncapped = 0] = runScenario(demand, computeUncappedTimeoutMs)(
      COUNTED_FROM_S,
      SURGE_END_S,
    );
    assert.ok(
      other > uncapped + 0.05,
      `${other} served, and ${uncapped} with long waits`,
    );
  });
}

test("serves everything again two seconds after the surge", () => {
  const shares = runScenario(2.5)(SURGE_END_S + 2, DURATION_S - 2);
  assert.ok(shares.every((share) => share > 0.97), shares.join(" "));
});

test("refuses nothing below the capacity", () => {
  const shares = runScenario(0.9)(0, DURATION_S - 2);
  assert.ok(shares.every((share) => share > 0.999), shares.join(" "));
});

test.run();
