import * as assert from "uvu/assert";
import { suite } from "uvu";
import { createStoreTiming } from "../store/mod.ts";
import { DistributionBench } from "../testing/distribution_bench.ts";
import { chooseStoreChecker } from "./choose_store_checker.ts";

const test = suite("checks of the store besides the watchers");

/** Bounds of the deployment, in milliseconds: for all changes, and added while the store turns some daemons away. */
const APPLY_MS = 2_500;
const MAX_STRETCH_MS = 5_000;
const CONTACT_MS = 4_000;

function createBench(seed: number) {
  return new DistributionBench(seed, undefined, {
    watchersPerDomain: 1,
    storeTiming: createStoreTiming(CONTACT_MS),
  });
}

function listWatchers({ fleet }: DistributionBench) {
  return fleet.daemons.filter(({ distributor }) => distributor.isWatcher);
}

// All watchers were turned away by the store while it served the others: the whole
// fleet kept an older configuration until the store admitted them again.
test("while the store turns just the watchers away, a change is active within the stretched limit", async () => {
  const bench = createBench(51);
  await bench.start();
  const late: string[] = [];
  for (let phaseMs = 0; phaseMs < CONTACT_MS; phaseMs += 200) {
    const watchers = listWatchers(bench);
    watchers.forEach(({ linkedStore }) => linkedStore?.setCut(true));
    await bench.advance(1_000 + phaseMs);
    const version = await bench.accept(10_000 + phaseMs);
    const startMs = bench.clock.monotonicMs();
    await bench.advance(APPLY_MS + MAX_STRETCH_MS);
    const behind = bench.fleet.daemons.filter(({ holder }) =>
      holder.version < version
    );
    if (behind.length > 0) {
      late.push(`phase ${phaseMs}: ${behind.length} daemons behind`);
    }
    watchers.forEach(({ linkedStore }) => linkedStore?.setCut(false));
    await bench.advance(startMs % 700 + 5_000);
  }
  bench.fleet.stop();
  assert.equal(late, []);
});

// The only watcher of a failure domain may be cut off, or paused, for longer than the limit.
for (
  const { isPartitioned, limitMs } of [
    { isPartitioned: false, limitMs: APPLY_MS },
    { isPartitioned: true, limitMs: APPLY_MS + MAX_STRETCH_MS },
  ]
) {
  const state = isPartitioned ? "partitioned" : "connected";
  test(`with the watcher of a ${state} failure domain cut off from the store, a change is active there in time`, async () => {
    const bench = createBench(53);
    await bench.start();
    const late: string[] = [];
    for (const [round, { name }] of bench.fleet.options.domains.entries()) {
      const watcher = listWatchers(bench).find(({ self }) =>
        self.failureDomain === name
      );
      watcher?.linkedStore?.setCut(true);
      bench.fleet.setPartitioned(name, isPartitioned);
      await bench.advance(1_500);
      const version = await bench.accept(10_000 + round);
      await bench.advance(limitMs);
      const behind = bench.fleet.daemons.filter(({ holder }) =>
        holder.version < version
      );
      if (behind.length > 0) {
        late.push(`${name}: ${behind.length} daemons behind`);
      }
      watcher?.linkedStore?.setCut(false);
      bench.fleet.setPartitioned(name, false);
      await bench.advance(7_000);
    }
    bench.fleet.stop();
    assert.equal(late, []);
  });
}

test("on a quiet fleet, a failure domain makes one check per contact time besides its watches", async () => {
  const bench = createBench(52);
  await bench.start();
  await bench.advance(10_000);
  const watchers = new Set(listWatchers(bench));
  const countChecks = () =>
    bench.fleet.daemons.filter((daemon) => !watchers.has(daemon))
      .reduce((sum, { store }) => sum + store.traffic.calls, 0);
  const before = countChecks();
  const turns = 15;
  await bench.advance(turns * CONTACT_MS);
  const domains = bench.fleet.options.domains.length;
  const checks = countChecks() - before;
  assert.ok(checks <= (turns + 1) * domains, `${checks} checks`);
  assert.ok(checks >= (turns - 1) * domains, `${checks} checks`);
  bench.fleet.stop();
});

test("members take turns, and failure domains begin theirs one after the other", () => {
  const choose = (failureDomain: string, nowMs: number) =>
    chooseStoreChecker({
      incarnations: ["one", "two", "three"],
      domains: ["b", "a"],
      ...{ failureDomain, nowMs, turnMs: 100 },
    });
  const checkers = [0, 100, 200].map((nowMs) => choose("a", nowMs).incarnation);
  assert.is(new Set(checkers).size, 3);
  assert.is(choose("a", 99).turn, 0);
  assert.is(choose("b", 49).turn, 0);
  assert.is(choose("b", 50).turn, 1);
  const none = { incarnations: [], domains: [], failureDomain: "a" };
  const { incarnation } = chooseStoreChecker({
    ...none,
    ...{ nowMs: 5, turnMs: 100 },
  });
  assert.is(incarnation, undefined);
});

test.run();
