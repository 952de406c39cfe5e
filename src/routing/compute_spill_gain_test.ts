import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { computeSpillGain } from "./compute_spill_gain.ts";
import { DomainLoad } from "./domain_load.ts";
import type { LoadSample } from "./domain_load.ts";
import { SpillReceipts } from "./spill_receipts.ts";

const test = suite("what leaving a failure domain gains");

const IN_REGION = {
  domain: "gent-b",
  isOwnRegion: true,
  networkLatencyMs: 3,
};
const OTHER_REGION = {
  domain: "namur-a",
  isOwnRegion: false,
  networkLatencyMs: 60,
};
const TARGET = { targetLatencyMs: 250 };

function createLoad(changes: Partial<LoadSample>): DomainLoad {
  const load = new DomainLoad();
  for (let attempt = 0; attempt < 10; attempt += 1) {
    load.record({
      ...{ loadRatio: 1, isRefused: false, isFailed: false },
      ...{ durationMs: 100, bytes: 1_000 },
      ...changes,
    });
  }
  load.close();
  return load;
}

test("does not pay without a queue, and pays less the more bytes cross and the dearer the path is", () => {
  const other = new DomainLoad();
  const idle = createLoad({});
  const gain = (own: DomainLoad, target: typeof IN_REGION) =>
    computeSpillGain({ own, other, target }, TARGET);
  assert.ok(gain(idle, IN_REGION) < 0);
  const queued = createLoad({ loadRatio: 2, durationMs: 200 });
  assert.ok(gain(queued, IN_REGION) > 0);
  assert.ok(gain(queued, OTHER_REGION) < 0);
  const large = createLoad({ loadRatio: 2, durationMs: 200, bytes: 2_000_000 });
  assert.ok(gain(large, IN_REGION) < 0);
});

test("refusals make even another region worth it, and a slow one is not", () => {
  const own = createLoad({ loadRatio: 2, durationMs: 200 });
  for (let period = 0; period < 5; period += 1) {
    for (let attempt = 0; attempt < 4; attempt += 1) {
      const isRefused = attempt % 2 === 0;
      own.record({
        ...{ loadRatio: 2, isRefused, isFailed: false, bytes: 1_000 },
        durationMs: isRefused ? undefined : 200,
      });
    }
    own.close();
  }
  const far = { own, target: OTHER_REGION };
  const fast = createLoad({ durationMs: 160 });
  const slow = createLoad({ durationMs: 900 });
  assert.ok(computeSpillGain({ ...far, other: fast }, TARGET) > 0);
  assert.ok(computeSpillGain({ ...far, other: slow }, TARGET) < 0);
});

test("a domain counts as a sender only for a while after its last call", () => {
  const clock = new ManualClock();
  const receipts = new SpillReceipts(clock);
  assert.equal(receipts.list(), []);
  receipts.record("gent-a");
  clock.advance(500);
  receipts.record("gent-b");
  assert.equal(receipts.list(), ["gent-a", "gent-b"]);
  clock.advance(700);
  assert.equal(receipts.list(), ["gent-b"]);
});

test.run();
