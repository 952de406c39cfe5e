import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { SimulatedConfigurationDaemon } from "../testing/simulated_configuration_daemon.ts";
import {
  DISTRIBUTION_DOMAINS,
  DISTRIBUTION_STEP_MS,
  DistributionBench,
} from "../testing/distribution_bench.ts";
import { CONFIGURATION_KEY } from "./configuration_objects.ts";

const test = suite("configuration distribution");

function listVersions({ fleet }: DistributionBench): number[] {
  return [...new Set(fleet.daemons.map(({ holder }) => holder.version))];
}

function listWatchers(
  { fleet }: DistributionBench,
): SimulatedConfigurationDaemon[] {
  return fleet.daemons.filter(({ isRunning, distributor }) =>
    isRunning && distributor.isWatcher
  );
}

test("two daemons per failure domain watch, and others take over when they are killed", async () => {
  const bench = new DistributionBench(11);
  await bench.start();
  const watchers = listWatchers(bench);
  assert.is(watchers.length, 2 * DISTRIBUTION_DOMAINS.length);
  watchers.forEach((watcher) => watcher.kill());
  await bench.advance(2_000);
  const successors = listWatchers(bench);
  assert.is(successors.length, 2 * DISTRIBUTION_DOMAINS.length);
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  const running = bench.fleet.daemons.filter(({ isRunning }) => isRunning);
  assert.ok(running.every(({ holder }) => holder.version === version));
});

test("with one watcher per failure domain, a series of changes crosses the region link from the store once per failure domain", async () => {
  const bench = new DistributionBench(17, undefined, { watchersPerDomain: 1 });
  await bench.start();
  const far = bench.fleet.daemons.filter(({ self }) =>
    self.region === "wallonie"
  );
  const sumBytes = () =>
    far.reduce((sum, { store }) => sum + store.traffic.bytes, 0);
  const startBytes = sumBytes();
  let version = 0;
  const changes = 6;
  for (let change = 0; change < changes; change += 1) {
    version = await bench.accept(2_000 + change);
    await bench.advance(300);
  }
  await bench.advance(2_000);
  assert.equal(listVersions(bench), [version]);
  const objectBytes = JSON.stringify(bench.fleet.table.get(CONFIGURATION_KEY))
    .length;
  const farDomains = new Set(far.map(({ self }) => self.failureDomain)).size;
  assert.ok(sumBytes() - startBytes <= changes * farDomains * objectBytes);
});

test("while a fleet starts, only the watchers call the store", async () => {
  const bench = new DistributionBench(20, undefined, { watchersPerDomain: 1 });
  bench.fleet.start();
  await bench.advance(3_000);
  const sumCalls = () =>
    bench.fleet.daemons.reduce(
      (sum, { store }) => sum + store.traffic.calls,
      0,
    );
  const callsPerWatcher = 6;
  assert.ok(
    sumCalls() <= callsPerWatcher * DISTRIBUTION_DOMAINS.length,
    `${sumCalls()} calls`,
  );
  const version = await bench.accept(1_002);
  await bench.advance(3_000);
  assert.equal(listVersions(bench), [version]);
  assert.ok(
    bench.fleet.daemons.every(({ distributor }) => distributor.isConfirmed),
  );
});

test("a fleet with a single failure domain has four watchers", async () => {
  const bench = new DistributionBench(18, undefined, {
    watchersPerDomain: 1,
    domains: DISTRIBUTION_DOMAINS.slice(0, 1),
  });
  await bench.start();
  assert.is(listWatchers(bench).length, 4);
});

test("a version that one daemon read just before a store outage reaches all others", async () => {
  const bench = new DistributionBench(12);
  await bench.start();
  for (const { name } of DISTRIBUTION_DOMAINS.slice(1)) {
    bench.fleet.getFaults(name).isDown = true;
  }
  bench.fleet.table.notifyAll();
  const version = await bench.accept(1_002);
  await bench.advance(50);
  bench.fleet.setFaults({ isDown: true });
  await bench.advance(5_000);
  assert.equal(listVersions(bench), [version]);
});

test("a failure domain that was partitioned from peers and store catches up after the partition heals", async () => {
  const bench = new DistributionBench(13);
  await bench.start();
  bench.fleet.setPartitioned("namur-b", true);
  bench.fleet.getFaults("namur-b").isDown = true;
  bench.fleet.table.notifyAll();
  await bench.accept(1_002);
  const version = await bench.accept(1_003);
  await bench.advance(20_000);
  assert.equal(listVersions(bench), [version, 1]);
  bench.fleet.setPartitioned("namur-b", false);
  await bench.advance(5_000);
  assert.equal(listVersions(bench), [version]);
});

test("after the store returned from a copy, nothing reverts and the operator's newer version reaches all daemons", async () => {
  const bench = new DistributionBench(19);
  await bench.start();
  await bench.accept(1_002);
  await bench.advance(1_000);
  const version = await bench.accept(1_003);
  await bench.advance(1_000);
  bench.fleet.table.returnFromCopy(1);
  await bench.advance(3_000);
  assert.equal(listVersions(bench), [version]);
  const restarted = bench.fleet.daemons[3]!;
  restarted.kill();
  const next = bench.fleet.restart(restarted);
  await bench.advance(5_000);
  assert.is(next.holder.version, version);
  assert.is(await bench.accept(1_003), version);
  const newer = await bench.accept(1_004);
  await bench.advance(2_000);
  assert.equal(listVersions(bench), [newer]);
});

test("a daemon restarted while the store returns stale reads waits for the version of its peers", async () => {
  const bench = new DistributionBench(14);
  await bench.start();
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  bench.fleet.setFaults({ servesStaleReads: true });
  const old = bench.fleet.daemons[0]!;
  old.kill();
  const next = bench.fleet.restart(old);
  let versionWhenReady = 0;
  for (let passedMs = 0; passedMs < 10_000; passedMs += DISTRIBUTION_STEP_MS) {
    await bench.advance(DISTRIBUTION_STEP_MS);
    if (next.distributor.isConfirmed && versionWhenReady === 0) {
      versionWhenReady = next.holder.version;
    }
  }
  assert.is(versionWhenReady, version);
});

test("a daemon that can reach neither store nor peers does not become ready", async () => {
  const bench = new DistributionBench(15);
  await bench.start();
  bench.fleet.setFaults({ isDown: true });
  const [survivor, ...others] = bench.fleet.daemons;
  others.forEach((daemon) => daemon.kill());
  survivor!.kill();
  const next = bench.fleet.restart(survivor!);
  await bench.advance(30_000);
  assert.not(next.distributor.isConfirmed);
});

test("a daemon restarted during a store outage becomes ready with the version of its peers", async () => {
  const bench = new DistributionBench(16);
  await bench.start();
  const version = await bench.accept(1_002);
  await bench.advance(5_000);
  bench.fleet.setFaults({ isDown: true });
  const old = bench.fleet.daemons[7]!;
  old.kill();
  const next = bench.fleet.restart(old);
  await bench.advance(10_000);
  assert.ok(next.distributor.isConfirmed);
  assert.is(next.holder.version, version);
});

test.run();
