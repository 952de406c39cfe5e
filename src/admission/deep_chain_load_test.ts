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
const CALM_DEMAND = 0.6;
const SURGE_FROM_S = 2;
const SURGE_TO_S = 16;
const LENGTH_S = 24;

/** Seconds of the surge that count: the first ones belong to the turn. */
const COUNTED_FROM_S = 4;

function createRequest(name: string, classRank: number): CompiledRequest {
  return {
    ...{ name, classRank, className: name, service: "deep" },
  } as CompiledRequest;
}

const KINDS = [
  { request: createRequest("delivery", 0), share: 0.26 },
  { request: createRequest("rounds", 2), share: 0.74 },
];

/** Share of requests that are answered in time, by kind, in some seconds. */
type Shares = (fromS: number, toS: number) => number[];

function play(
  demand: number,
  readPatienceMs: typeof computeQueueTimeoutMs = computeQueueTimeoutMs,
): Shares {
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
    ...{ clock, entries, kinds: KINDS, seed: 3, readPatienceMs },
    lengthMs: LENGTH_S * 1_000,
    readDemand: (atMs) =>
      atMs >= SURGE_FROM_S * 1_000 && atMs < SURGE_TO_S * 1_000
        ? demand
        : CALM_DEMAND,
  }).run();
  return (fromS, toS) =>
    counts.map((seconds) => computeShare(seconds.slice(fromS, toS)));
}

function computeShare(seconds: readonly ChainCount[]): number {
  const asked = seconds.reduce((sum, each) => sum + each.asked, 0);
  const served = seconds.reduce((sum, each) => sum + each.served, 0);
  return served / Math.max(1, asked);
}

/** Waits for as long as the call can still run in time, whatever the queue. */
function waitToTheEnd(
  remainingMs: number,
  options: Parameters<typeof computeQueueTimeoutMs>[1],
): number {
  return computeQueueTimeoutMs(remainingMs, { ...options, queuedForMs: 0 });
}

for (const demand of [1.3, 1.7, 2.5]) {
  /** Pattern: a small service four calls deep gets more than it can carry for longer than a burst. */
  test(`at ${demand} times the capacity the important kind is served and most of the rest is used in time`, () => {
    const [important = 0, other = 0] = play(demand)(COUNTED_FROM_S, SURGE_TO_S);
    const fits = (1 - demand * 0.26) / (demand * 0.74);
    assert.ok(important > 0.99, `${important} of the important kind`);
    assert.ok(other > fits * 0.7, `${other} of the others, ${fits} would fit`);
    const [, before = 0] = play(demand, waitToTheEnd)(
      COUNTED_FROM_S,
      SURGE_TO_S,
    );
    assert.ok(other > before + 0.05, `${other}, and ${before} by waiting`);
  });
}

test("all is served again two seconds after the surge", () => {
  const shares = play(2.5)(SURGE_TO_S + 2, LENGTH_S - 2);
  assert.ok(shares.every((share) => share > 0.97), shares.join(" "));
});

test("nothing is refused below the capacity", () => {
  const shares = play(0.9)(0, LENGTH_S - 2);
  assert.ok(shares.every((share) => share > 0.999), shares.join(" "));
});

test.run();
