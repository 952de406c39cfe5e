import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { LoadSignal } from "../generated/types.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { LoadSignalCache } from "./load_signal_cache.ts";

const test = suite("load signals of other services");

const INSTANCES = 40;

function createSignal(
  instance: number,
  changes: Partial<LoadSignal> = {},
): LoadSignal {
  return {
    ...{ service: "stock", instance, sequence: 1, demandPerSecond: 100 },
    ...{ inFlight: 8, queued: 0, limit: 8, admitLevel: 0.5 },
    ...changes,
  };
}

/** A cache that knows many instances of an overloaded service. */
function createCache() {
  const clock = new ManualClock();
  const cache = new LoadSignalCache(clock);
  for (let instance = 1; instance <= INSTANCES; instance += 1) {
    cache.observe(createSignal(instance));
  }
  const list = () =>
    cache.listOverloadSignals(["stock"], 1).map(({ instance }) => instance);
  return { cache, clock, list };
}

test("a changed ratio is relayed at once", () => {
  const { cache, list } = createCache();
  assert.equal(list(), [INSTANCES]);
  cache.observe(createSignal(7, { sequence: 2, admitLevel: 0.4 }));
  assert.equal(list(), [7]);
});

// Each reply of a daemon went through all instances of the overloaded services on its path.
test("signals without news are listed anew every 20 ms", () => {
  const { cache, clock, list } = createCache();
  assert.equal(list(), [INSTANCES]);
  cache.observe(createSignal(7, { sequence: 2 }));
  assert.equal(list(), [INSTANCES]);
  clock.advance(20);
  assert.equal(list(), [7]);
});

test("an expired signal is not relayed", () => {
  const { cache, clock, list } = createCache();
  assert.equal(list(), [INSTANCES]);
  clock.advance(1_300);
  assert.equal(list(), []);
  cache.observe(createSignal(7, { sequence: 2, admitLevel: 1 }));
  assert.equal(list(), []);
});

test.run();
