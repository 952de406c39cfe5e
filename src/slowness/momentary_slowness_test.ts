import { suite } from "uvu";
import * as assert from "uvu/assert";
import { MomentarySlowness } from "./momentary_slowness.ts";

const test = suite("MomentarySlowness");

test("a figure replaces the one before without an average, and fades within 600 ms", () => {
  const slowness = new MomentarySlowness();
  slowness.observe(1, 0);
  slowness.observe(2.5, 10);
  assert.is(slowness.getRatio(10), 2.5);
  assert.is(slowness.getRatio(310), 1.75);
  assert.is(slowness.getRatio(610), 1);
  assert.is(slowness.read(610), undefined);
});

test("an older figure that arrives late does not replace a newer one", () => {
  const slowness = new MomentarySlowness();
  slowness.observe(2.5, 100);
  slowness.observe(1, 50);
  assert.is(slowness.getRatio(100), 2.5);
});

test("counts as stated only after a figure, so that nothing acts for servers without one", () => {
  const slowness = new MomentarySlowness();
  assert.is(slowness.isStated(0), false);
  assert.is(slowness.getRatio(0), 1);
  slowness.observe(1, 0);
  assert.is(slowness.isStated(9_000), true);
  assert.is(slowness.isStated(11_000), false);
});

test.run();
