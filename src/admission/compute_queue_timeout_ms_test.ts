import { test } from "uvu";
import * as assert from "uvu/assert";
import { computeQueueTimeoutMs } from "./compute_queue_timeout_ms.ts";

const STANDING = { holdMs: 30, queuedForMs: 600 };

// A fast instance refused nested calls that had time, since their longest wait followed from its hold time alone.
test("a nested call waits in a standing queue for a share of the time that it has", () => {
  const timeoutMs = computeQueueTimeoutMs(700, { ...STANDING, isNested: true });
  assert.ok(timeoutMs > 200 && timeoutMs < 300, `${timeoutMs}`);
});

test("a nested call with little time waits as long as calls of a standing queue do", () => {
  const options = { ...STANDING, isNested: true };
  assert.is(computeQueueTimeoutMs(250, options), 120);
  assert.is(computeQueueTimeoutMs(100, options), 70);
});

test("the first call of a chain waits in a standing queue for four hold times", () => {
  assert.is(computeQueueTimeoutMs(700, { ...STANDING, isNested: false }), 120);
});

test("while a queue is not a standing one, a nested call waits as long as it can finish", () => {
  const options = { isNested: true, holdMs: 30, queuedForMs: 400 };
  assert.is(computeQueueTimeoutMs(700, options), 670);
});

test.run();
