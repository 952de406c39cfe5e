import { suite } from "uvu";
import * as assert from "uvu/assert";
import { shouldSpillOver } from "./should_spill_over.ts";
import type { TierEstimate } from "./should_spill_over.ts";

const test = suite("shouldSpillOver");

const TARGET = { targetLatencyMs: 300 };

function createEstimate(changes: Partial<TierEstimate> = {}): TierEstimate {
  return { waitMs: 30, utilization: 0.2, overloadRatio: 0, ...changes };
}

const NEAR = createEstimate({ waitMs: 44 });
const FAR = createEstimate({ waitMs: 22 });

test("does not spill over for a gain that is negligible against the target", () => {
  assert.is(shouldSpillOver(NEAR, FAR, TARGET), false);
  assert.is(shouldSpillOver({ ...NEAR, waitMs: 60 }, FAR, TARGET), true);
});

test("leaves the region only for a gain of half the target, or from a saturated instance", () => {
  const crossRegion = { ...TARGET, isCrossRegion: true };
  const slow = { ...NEAR, waitMs: 160 };
  assert.is(shouldSpillOver(slow, FAR, TARGET), true);
  assert.is(shouldSpillOver(slow, FAR, crossRegion), false);
  assert.is(shouldSpillOver({ ...NEAR, waitMs: 180 }, FAR, crossRegion), true);
  const full = { ...slow, utilization: 0.9 };
  assert.is(shouldSpillOver(full, FAR, crossRegion), true);
});

test("spills over for any clear gain without a target", () => {
  assert.is(shouldSpillOver(NEAR, FAR, {}), true);
  assert.is(shouldSpillOver({ ...NEAR, waitMs: 25 }, FAR, {}), false);
});

test("spills over from a saturated instance for any clear gain", () => {
  const full = { ...NEAR, utilization: 0.9 };
  const refusing = { ...NEAR, overloadRatio: 0.3 };
  assert.is(shouldSpillOver(full, FAR, TARGET), true);
  assert.is(shouldSpillOver(refusing, FAR, TARGET), true);
  assert.is(shouldSpillOver(full, { ...FAR, waitMs: 43 }, TARGET), false);
});

test.run();
