import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { createSilentLogger } from "./logger.ts";
import type { LogContext } from "./logger.ts";
import { MemoryWatch } from "./memory_watch.ts";
import { DaemonMetrics } from "./metrics.ts";

const LIMIT_BYTES = 350_000_000;

const CHECK_INTERVAL_MS = 500;

function createWatch(limitBytes = LIMIT_BYTES) {
  const clock = new ManualClock();
  const metrics = new DaemonMetrics();
  const warnings: LogContext[] = [];
  let residentBytes = 0;
  const watch = new MemoryWatch({
    ...{ clock, limitBytes, metrics },
    log: {
      ...createSilentLogger(),
      warn: (fields, event) => warnings.push({ ...fields, event }),
    },
    describe: () => ({ requestsInProgress: 3 }),
    readResidentBytes: () => residentBytes,
  });
  const checkAt = (ratio: number) => {
    residentBytes = ratio * LIMIT_BYTES;
    watch.check();
    clock.advance(CHECK_INTERVAL_MS);
  };
  return { checkAt, metrics, warnings };
}

// Guards against a process that is killed at its memory limit without a line that tells of the growth.
test("warns with its parts from a share of the limit on, and at each step of growth", () => {
  const { checkAt, warnings } = createWatch();
  [0.3, 0.69, 0.71, 0.75, 0.82, 0.91, 1.02].forEach(checkAt);
  assert.equal(
    warnings.map(({ residentBytes }) => Number(residentBytes) / LIMIT_BYTES),
    [0.71, 0.82, 1.02],
  );
  const [first = {}] = warnings;
  assert.is(first["event"], "memory-high");
  assert.is(first["limitBytes"], LIMIT_BYTES);
  assert.is(first["requestsInProgress"], 3);
  assert.ok(Number(first["heapBytes"]) > 0);
});

test("repeats a warning every 10 s while the memory stays near the limit", () => {
  const { checkAt, warnings } = createWatch();
  Array.from({ length: 41 }).forEach(() => checkAt(0.75));
  assert.is(warnings.length, 3);
});

test("exports limit, peak and number of warnings", async () => {
  const { checkAt, metrics } = createWatch();
  [0.2, 0.8, 0.3].forEach(checkAt);
  const text = await metrics.registry.metrics();
  assert.match(text, `celeryhollow_memory_limit_bytes ${LIMIT_BYTES}`);
  assert.match(text, `celeryhollow_memory_peak_bytes ${0.8 * LIMIT_BYTES}`);
  assert.match(text, "celeryhollow_memory_warnings_total 1");
});

test("without a known limit nothing is warned of and no limit exported", async () => {
  const { checkAt, metrics, warnings } = createWatch(Number.POSITIVE_INFINITY);
  checkAt(5);
  assert.equal(warnings, []);
  const text = await metrics.registry.metrics();
  assert.not.match(text, /celeryhollow_memory_limit_bytes \S*Inf/i);
});

test.run();
