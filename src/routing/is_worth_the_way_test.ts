import { suite } from "uvu";
import * as assert from "uvu/assert";
import { isWorthTheWay } from "./is_worth_the_way.ts";
import type { Prospect } from "./is_worth_the_way.ts";

const test = suite("when a call goes further");

const TARGET = { targetLatencyMs: 300 };

function createProspect(changes: Partial<Prospect> = {}): Prospect {
  return { waitMs: 30, utilization: 0.2, overloadRatio: 0, ...changes };
}

const NEAR = createProspect({ waitMs: 44 });
const FAR = createProspect({ waitMs: 22 });

test("a gain that the caller does not notice is not worth the way", () => {
  assert.is(isWorthTheWay(NEAR, FAR, TARGET), false);
  assert.is(isWorthTheWay({ ...NEAR, waitMs: 60 }, FAR, TARGET), true);
});

test("without a target every clear gain counts", () => {
  assert.is(isWorthTheWay(NEAR, FAR, {}), true);
  assert.is(isWorthTheWay({ ...NEAR, waitMs: 25 }, FAR, {}), false);
});

test("a near instance that is nearly full or refuses is left for any clear gain", () => {
  const full = { ...NEAR, utilization: 0.9 };
  const refusing = { ...NEAR, overloadRatio: 0.3 };
  assert.is(isWorthTheWay(full, FAR, TARGET), true);
  assert.is(isWorthTheWay(refusing, FAR, TARGET), true);
  assert.is(isWorthTheWay(full, { ...FAR, waitMs: 43 }, TARGET), false);
});

test.run();
