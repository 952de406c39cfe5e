import { test } from "uvu";
import * as assert from "uvu/assert";
import { TimeLeftEstimator } from "./time_left_estimator.ts";

function recordAll(
  estimator: TimeLeftEstimator,
  { timesMs, rounds }: { timesMs: readonly number[]; rounds: number },
): void {
  for (let round = 0; round < rounds; round += 1) {
    timesMs.forEach((timeMs) => estimator.record(timeMs));
  }
}

const TIMES_MS = [700, 690, 650, 600, 560, 520, 470, 420, 380, 200];

test("a tenth of the calls has less time left than the estimate", () => {
  const estimator = new TimeLeftEstimator();
  recordAll(estimator, { timesMs: TIMES_MS, rounds: 200 });
  assert.ok(
    estimator.lowMs > 195 && estimator.lowMs < 385,
    `${estimator.lowMs}`,
  );
});

test("the estimate follows a change of the times", () => {
  const estimator = new TimeLeftEstimator();
  recordAll(estimator, { timesMs: [700], rounds: 10 });
  recordAll(estimator, { timesMs: [100], rounds: 200 });
  assert.ok(estimator.lowMs < 110, `${estimator.lowMs}`);
  recordAll(estimator, { timesMs: [400], rounds: 1_000 });
  assert.ok(estimator.lowMs > 390, `${estimator.lowMs}`);
});

test("calls whose time is over leave no time, and neither does a missing call", () => {
  const estimator = new TimeLeftEstimator();
  assert.is(estimator.lowMs, 0);
  recordAll(estimator, { timesMs: [-50], rounds: 3 });
  assert.is(estimator.lowMs, 0);
});

test.run();
