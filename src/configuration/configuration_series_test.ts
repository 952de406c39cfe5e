import * as assert from "uvu/assert";
import { suite } from "uvu";
import { createStoreTiming } from "../store/mod.ts";
import {
  DISTRIBUTION_STEP_MS,
  DistributionBench,
} from "../testing/distribution_bench.ts";

const test = suite("series of configuration changes");

/** Bound of the deployment, in milliseconds. */
const APPLY_MS = 2_500;
const CONTACT_MS = 4_000;

/** Calls that other components of a daemon make before the series, as the seed lists do. */
const OTHER_CALLS = 6;

/** An accepted version with the time at which it was accepted. */
interface Acceptance {
  readonly version: number;
  readonly atMs: number;
}

/** Accepts changes at an interval and returns one sentence for each that is active too late on a daemon. */
async function playSeries(
  bench: DistributionBench,
  { gapMs, durationMs }: {
    readonly gapMs: number;
    readonly durationMs: number;
  },
): Promise<string[]> {
  const { clock, fleet } = bench;
  const accepted: Acceptance[] = [];
  const late = new Map<number, string>();
  const check = () => {
    const nowMs = clock.monotonicMs();
    const lowest = Math.min(
      ...fleet.daemons.map(({ holder }) => holder.version),
    );
    for (const { version, atMs } of accepted) {
      if (lowest < version && nowMs > atMs + APPLY_MS) {
        late.set(version, `${version} after ${nowMs - atMs} ms`);
      }
    }
  };
  const startMs = clock.monotonicMs();
  let nextMs = startMs;
  while (clock.monotonicMs() < startMs + durationMs + 2 * APPLY_MS) {
    if (clock.monotonicMs() >= nextMs && nextMs < startMs + durationMs) {
      nextMs += gapMs;
      const version = await bench.accept(10_000 + accepted.length);
      accepted.push({ version, atMs: clock.monotonicMs() });
    }
    await bench.advance(DISTRIBUTION_STEP_MS);
    check();
  }
  fleet.stop();
  return [...late.values()];
}

for (
  const series of [
    { gapMs: 150, durationMs: 5_000 },
    { gapMs: 330, durationMs: 4_000 },
    { gapMs: 330, durationMs: 30_000 },
    { gapMs: 1_000, durationMs: 30_000 },
  ]
) {
  // A watcher out of calls was refused by its own limit and then backed off for up to 2 s.
  test(`a change every ${series.gapMs} ms for ${series.durationMs} ms: each is active within the limit`, async () => {
    for (const seed of [41, 42, 43]) {
      const bench = new DistributionBench(seed, undefined, {
        watchersPerDomain: 1,
        storeTiming: createStoreTiming(CONTACT_MS),
      });
      await bench.start();
      for (const { limitedStore } of bench.fleet.daemons) {
        for (let call = 0; call < OTHER_CALLS; call += 1) {
          void limitedStore.read("seeds/gent-a");
        }
      }
      assert.equal(await playSeries(bench, series), []);
    }
  });
}

test.run();
