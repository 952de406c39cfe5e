import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { LightConfigurationDaemon } from "../testing/light_configuration_daemon.ts";
import {
  SPREAD_DOMAINS,
  SPREAD_STEP_MS,
  SpreadBench,
} from "../testing/spread_bench.ts";

const test = suite("configuration distribution");

function listVersions({ fleet }: SpreadBench): number[] {
  return [...new Set(fleet.daemons.map(({ holder }) => holder.version))];
}

function listWatchers({ fleet }: SpreadBench): LightConfigurationDaemon[] {
  return fleet.daemons.filter(({ isRunning, spread }) =>
    isRunning && spread.isWatcher
  );
}

test("two daemons per failure domain watch, and others take over when they are killed", async () => {
  const bench = new SpreadBench(11);
  await bench.start();
  const watchers = listWatchers(bench);
  assert.is(watchers.length, 2 * SPREAD_DOMAINS.length);
  watchers.forEach((watcher) => watcher.kill());
  await bench.advance(2_000);
  const successors = listWatchers(bench);
  assert.is(successors.length, 2 * SPREAD_DOMAINS.length);
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  const running = bench.fleet.daemons.filter(({ isRunning }) => isRunning);
  assert.ok(running.every(({ holder }) => holder.version === version));
});

test("a version that one daemon read just before a store outage reaches all others", async () => {
  const bench = new SpreadBench(12);
  await bench.start();
  for (const { name } of SPREAD_DOMAINS.slice(1)) {
    bench.fleet.faultsOf(name).isDown = true;
  }
  bench.fleet.table.wakeAll();
  const version = await bench.accept(1_002);
  await bench.advance(50);
  bench.fleet.setFaults({ isDown: true });
  await bench.advance(5_000);
  assert.equal(listVersions(bench), [version]);
});

test("a failure domain that was partitioned from peers and store catches up after the partition heals", async () => {
  const bench = new SpreadBench(13);
  await bench.start();
  bench.fleet.setCut("namur-b", true);
  bench.fleet.faultsOf("namur-b").isDown = true;
  bench.fleet.table.wakeAll();
  await bench.accept(1_002);
  const version = await bench.accept(1_003);
  await bench.advance(20_000);
  assert.equal(listVersions(bench), [version, 1]);
  bench.fleet.setCut("namur-b", false);
  await bench.advance(5_000);
  assert.equal(listVersions(bench), [version]);
});

test("a daemon restarted while the store returns stale reads waits for the version of its peers", async () => {
  const bench = new SpreadBench(14);
  await bench.start();
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  bench.fleet.setFaults({ answersFromPast: true });
  const old = bench.fleet.daemons[0]!;
  old.kill();
  const next = bench.fleet.restart(old);
  let versionWhenReady = 0;
  for (let passedMs = 0; passedMs < 10_000; passedMs += SPREAD_STEP_MS) {
    await bench.advance(SPREAD_STEP_MS);
    if (next.spread.isConfirmed && versionWhenReady === 0) {
      versionWhenReady = next.holder.version;
    }
  }
  assert.is(versionWhenReady, version);
});

test("a daemon that can reach neither store nor peers does not become ready", async () => {
  const bench = new SpreadBench(15);
  await bench.start();
  bench.fleet.setFaults({ isDown: true });
  const [survivor, ...others] = bench.fleet.daemons;
  others.forEach((daemon) => daemon.kill());
  survivor!.kill();
  const next = bench.fleet.restart(survivor!);
  await bench.advance(30_000);
  assert.not(next.spread.isConfirmed);
});

test("a daemon restarted during a store outage becomes ready with the version of its peers", async () => {
  const bench = new SpreadBench(16);
  await bench.start();
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  bench.fleet.setFaults({ isDown: true });
  const old = bench.fleet.daemons[7]!;
  old.kill();
  const next = bench.fleet.restart(old);
  await bench.advance(10_000);
  assert.ok(next.spread.isConfirmed);
  assert.is(next.holder.version, version);
});

test.run();
