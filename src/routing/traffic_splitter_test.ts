import { test } from "uvu";
import * as assert from "uvu/assert";
import { RandomSource } from "../time/mod.ts";
import { TrafficSplitter } from "./traffic_splitter.ts";
import type { WeightedTarget } from "./traffic_splitter.ts";

function count(
  splitter: TrafficSplitter,
  targets: readonly WeightedTarget[],
  requests: number,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let index = 0; index < requests; index += 1) {
    const service = splitter.pick("rounds", targets) ?? "none";
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

test("splits any run of requests in proportion to the weights", () => {
  const targets = [
    { service: "one", weight: 90 },
    { service: "other", weight: 10 },
  ];
  for (let seed = 1; seed <= 20; seed += 1) {
    const splitter = new TrafficSplitter(new RandomSource(seed));
    count(splitter, targets, seed * 7);
    assert.equal(count(splitter, targets, 100), { one: 90, other: 10 });
  }
});

test("starts at different services in different daemons", () => {
  const targets = [
    { service: "one", weight: 50 },
    { service: "other", weight: 50 },
  ];
  const random = new RandomSource(7);
  const first = Array.from(
    { length: 20 },
    () => new TrafficSplitter(random).pick("rounds", targets),
  );
  assert.equal([...new Set(first)].sort(), ["one", "other"]);
});

test("skips services without weight and applies new weights at once", () => {
  const splitter = new TrafficSplitter(new RandomSource(1));
  const closed = [
    { service: "one", weight: 1 },
    { service: "other", weight: 0 },
  ];
  assert.equal(count(splitter, closed, 10), { one: 10 });
  const moved = [
    { service: "one", weight: 0 },
    { service: "other", weight: 1 },
  ];
  assert.equal(count(splitter, moved, 10), { other: 10 });
  assert.is(splitter.pick("rounds", []), undefined);
});

test.run();
