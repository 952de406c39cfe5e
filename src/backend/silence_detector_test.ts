import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { SilenceDetector } from "./silence_detector.ts";

const LONG_MS = 100;
const NONE = Number.NEGATIVE_INFINITY;

/** A detector, and an exchange that began 10 ms after its connection was last used. */
function createWaiting() {
  const clock = new ManualClock();
  const detector = new SilenceDetector(clock);
  const connection = { usedAtMs: clock.monotonicMs(), hasResponse: false };
  clock.advance(10);
  const startedAtMs = clock.monotonicMs();
  const exchange = detector.begin(connection);
  return { clock, detector, connection, exchange, startedAtMs };
}

test("a long wait without a byte makes older connections doubtful", () => {
  const { clock, detector, startedAtMs } = createWaiting();
  clock.advance(LONG_MS - 1);
  assert.is(detector.doubtfulBeforeMs, NONE);
  clock.advance(1);
  assert.is(detector.doubtfulBeforeMs, startedAtMs);
  assert.is(detector.silentBeforeMs, NONE);
});

test("an exchange aborted after a long wait proves silence", () => {
  const { clock, detector, exchange, startedAtMs } = createWaiting();
  clock.advance(LONG_MS);
  detector.end(exchange, { isAborted: true });
  assert.is(detector.silentBeforeMs, startedAtMs);
  assert.is(detector.doubtfulBeforeMs, startedAtMs);
});

test("a call that its caller cancels early proves nothing", () => {
  const { clock, detector, exchange } = createWaiting();
  clock.advance(LONG_MS - 1);
  detector.end(exchange, { isAborted: true });
  clock.advance(LONG_MS);
  assert.is(detector.doubtfulBeforeMs, NONE);
});

test("a reset proves no silence", () => {
  const { clock, detector, exchange } = createWaiting();
  clock.advance(LONG_MS);
  detector.end(exchange, { isAborted: false });
  assert.is(detector.doubtfulBeforeMs, NONE);
});

test("the start of a response ends the doubt", () => {
  const { clock, detector, connection, exchange } = createWaiting();
  clock.advance(LONG_MS);
  connection.hasResponse = true;
  assert.is(detector.doubtfulBeforeMs, NONE);
  detector.end(exchange, { isAborted: true });
  assert.is(detector.silentBeforeMs, NONE);
});

test("a response on another old connection ends the doubt", () => {
  const { clock, detector, connection, exchange } = createWaiting();
  const other = { usedAtMs: connection.usedAtMs, hasResponse: false };
  const otherExchange = detector.begin(other);
  clock.advance(LONG_MS);
  other.hasResponse = true;
  detector.end(otherExchange, { isAborted: false });
  assert.is(detector.doubtfulBeforeMs, NONE);
  detector.end(exchange, { isAborted: true });
  assert.is(detector.silentBeforeMs, NONE);
});

test("a response on a connection opened during the wait does not end the doubt", () => {
  const { clock, detector, startedAtMs } = createWaiting();
  clock.advance(LONG_MS);
  const fresh = { usedAtMs: clock.monotonicMs(), hasResponse: true };
  detector.end(detector.begin(fresh), { isAborted: false });
  assert.is(detector.doubtfulBeforeMs, startedAtMs);
});

test("slow responses raise the wait that makes connections doubtful", () => {
  const { clock, detector, startedAtMs } = createWaiting();
  [100, 300, 100, 300].forEach((durationMs) =>
    detector.recordResponseTime(durationMs)
  );
  clock.advance(300);
  assert.is(detector.doubtfulBeforeMs, NONE);
  clock.advance(400);
  assert.is(detector.doubtfulBeforeMs, startedAtMs);
});

test.run();
