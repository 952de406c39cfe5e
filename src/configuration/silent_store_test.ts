import * as assert from "uvu/assert";
import { suite } from "uvu";
import {
  PROBE_INTERVAL_MS,
  SUSPICION_TIMEOUT_MS,
} from "../membership/failure_detector.ts";
import { createStoreTiming } from "../store/mod.ts";
import { DistributionBench } from "../testing/distribution_bench.ts";

const test = suite("configuration with silent store connections");

/** Bounds of the deployment, in milliseconds. */
const CONTACT_MS = 4_000;
const APPLY_MS = 2_500;

const PHASE_STEP_MS = 100;
const CHANGE_DELAYS_MS = [0, 500, 1_500, 4_000];

/** Time after a change in which the watchers have it and wait for the next. */
const SETTLE_MS = 3_000;

const timing = createStoreTiming(CONTACT_MS);

function createBench(seed: number) {
  return new DistributionBench(seed, undefined, {
    watchersPerDomain: 1,
    storeTiming: timing,
  });
}

/** Time from now until all running daemons have a version, in milliseconds; Infinity if longer than the limit. */
async function measureActivation(
  bench: DistributionBench,
  { version, limitMs }: { readonly version: number; readonly limitMs: number },
): Promise<number> {
  const startMs = bench.clock.monotonicMs();
  const isActive = () =>
    bench.fleet.daemons.every(({ holder, isRunning }) =>
      !isRunning || holder.version >= version
    );
  while (!isActive()) {
    if (bench.clock.monotonicMs() - startMs > limitMs) {
      return Infinity;
    }
    await bench.advance(10);
  }
  return bench.clock.monotonicMs() - startMs;
}

/**
 * Silences all store connections at a phase of the watch, stores a change after a
 * delay, and returns by how much it was active too late, in milliseconds.
 */
async function measureLateness(
  bench: DistributionBench,
  { phaseMs, delayMs, round }: {
    readonly phaseMs: number;
    readonly delayMs: number;
    readonly round: number;
  },
): Promise<number> {
  await bench.accept(10_000 + 2 * round);
  await bench.advance(SETTLE_MS + phaseMs);
  bench.fleet.daemons.forEach(({ linkedStore }) => {
    linkedStore?.openIdle(3);
    linkedStore?.silenceConnections();
  });
  await bench.advance(delayMs);
  const version = await bench.accept(10_001 + 2 * round);
  const boundMs = Math.max(CONTACT_MS - delayMs, APPLY_MS);
  const activeMs = await measureActivation(bench, { version, limitMs: 20_000 });
  await bench.advance(SETTLE_MS);
  return activeMs - boundMs;
}

// Users saw the whole fleet serve by an older configuration for seconds past the
// bound, since a watch on a silent connection ended by its own timeout only.
test("with all store connections silent, a change is active within the contact time, at each phase of the watch", async () => {
  const bench = createBench(31);
  await bench.start();
  const late: string[] = [];
  let round = 0;
  for (const delayMs of CHANGE_DELAYS_MS) {
    for (
      let phaseMs = 0;
      phaseMs < timing.watchTimeoutMs;
      phaseMs += PHASE_STEP_MS
    ) {
      round += 1;
      const lateMs = await measureLateness(bench, { phaseMs, delayMs, round });
      if (lateMs > 0) {
        late.push(`phase ${phaseMs}, change after ${delayMs}: ${lateMs} late`);
      }
    }
  }
  bench.fleet.stop();
  assert.equal(late, []);
});

/** Cuts all store connections for a time, stores a change in the middle, and returns the time from the end of the cut until it is active, in milliseconds. */
async function measureAfterCut(
  bench: DistributionBench,
  { cutMs, phaseMs }: { readonly cutMs: number; readonly phaseMs: number },
): Promise<number> {
  await bench.accept(10_000 + phaseMs);
  await bench.advance(500 + phaseMs);
  const stores = bench.fleet.daemons.flatMap(({ linkedStore }) =>
    linkedStore ? [linkedStore] : []
  );
  stores.forEach((store) => {
    store.openIdle(3);
    store.setCut(true);
  });
  await bench.advance(cutMs / 2);
  const version = await bench.accept(10_001 + phaseMs);
  await bench.advance(cutMs / 2);
  stores.forEach((store) => store.setCut(false));
  return await measureActivation(bench, { version, limitMs: 20_000 });
}

// A cut that drops packets holds an old stream back long after it has healed.
for (const cutMs of [500, 2_000, 5_500]) {
  test(`after a cut of ${cutMs} ms that drops packets, with old connections silent beyond it, a change is active within the contact time of its end`, async () => {
    const bench = createBench(32);
    await bench.start();
    const late: string[] = [];
    for (let phaseMs = 0; phaseMs < timing.watchTimeoutMs; phaseMs += 250) {
      const activeMs = await measureAfterCut(bench, { cutMs, phaseMs });
      if (activeMs > CONTACT_MS) {
        late.push(`phase ${phaseMs}: ${activeMs}`);
      }
    }
    bench.fleet.stop();
    assert.equal(late, []);
  });
}

// With one watcher per failure domain, its end must not leave the domain behind.
test("with the watcher of a failure domain killed as the other connections fall silent, a change is active within the contact time", async () => {
  const bench = createBench(33);
  await bench.start();
  const late: string[] = [];
  for (const [round, { name }] of bench.fleet.options.domains.entries()) {
    await bench.accept(10_000 + 2 * round);
    await bench.advance(500);
    const watcher = bench.fleet.daemons.find(({ distributor, self }) =>
      self.failureDomain === name && distributor.isWatcher
    )!;
    watcher.kill();
    bench.fleet.daemons.forEach(({ linkedStore }) =>
      linkedStore?.silenceConnections()
    );
    const version = await bench.accept(10_001 + 2 * round);
    const activeMs = await measureActivation(bench, {
      version,
      limitMs: 20_000,
    });
    if (activeMs > CONTACT_MS) {
      late.push(`${name}: ${activeMs}`);
    }
    bench.fleet.restart(watcher);
    await bench.advance(5_000);
  }
  bench.fleet.stop();
  assert.equal(late, []);
});

// A killed watcher stays in the list of live members until it is evicted. With all
// of them lost at once, no survivor watched the store until then.
test("with all but one daemon of each failure domain killed at once, a change right after that is active on the others within the limit", async () => {
  const suspectedAfterMs = 1.5 * PROBE_INTERVAL_MS;
  const bench = new DistributionBench(35, undefined, {
    watchersPerDomain: 1,
    storeTiming: timing,
    detection: {
      suspectedAfterMs,
      evictedAfterMs: suspectedAfterMs + SUSPICION_TIMEOUT_MS,
    },
  });
  await bench.start();
  const late: string[] = [];
  for (let round = 0; round < 5; round += 1) {
    await bench.accept(10_000 + 2 * round);
    await bench.advance(SETTLE_MS + 300 * round);
    const lost = bench.fleet.options.domains.flatMap(({ name }) =>
      bench.fleet.daemons.filter(({ self }) => self.failureDomain === name)
        .sort((left, right) =>
          Number(right.distributor.isWatcher) -
          Number(left.distributor.isWatcher)
        ).slice(0, -1)
    );
    lost.forEach((daemon) => daemon.kill());
    const version = await bench.accept(10_001 + 2 * round);
    const activeMs = await measureActivation(bench, {
      version,
      limitMs: 20_000,
    });
    if (activeMs > APPLY_MS) {
      late.push(`round ${round}: ${activeMs} ms`);
    }
    lost.forEach((daemon) => bench.fleet.restart(daemon));
    await bench.advance(10_000);
  }
  bench.fleet.stop();
  assert.equal(late, []);
});

function sumCalls({ fleet }: DistributionBench): number {
  return fleet.daemons.reduce((sum, { store }) => sum + store.traffic.calls, 0);
}

for (const delayMs of [240, 1_000]) {
  test(`a store that takes ${delayMs} ms for each answer still gives configurations, with a call a second at most`, async () => {
    const bench = createBench(34);
    await bench.start();
    bench.fleet.setFaults({ delayMs });
    await bench.advance(10_000);
    const seconds = 30;
    const startCalls = sumCalls(bench);
    await bench.advance(seconds * 1_000);
    const watchers = bench.fleet.options.domains.length;
    const calls = sumCalls(bench) - startCalls;
    assert.ok(calls <= seconds * watchers, `${calls} calls`);
    for (let change = 0; change < 5; change += 1) {
      const version = await bench.accept(10_000 + change);
      const activeMs = await measureActivation(bench, {
        version,
        limitMs: 20_000,
      });
      assert.ok(activeMs <= CONTACT_MS, `${activeMs} ms`);
      await bench.advance(730);
    }
    bench.fleet.stop();
  });
}

test.run();
