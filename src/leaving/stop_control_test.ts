import { ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { Answer, CallResult } from "../outcome/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { createStopSchedule } from "./create_stop_schedule.ts";
import { StopControl } from "./stop_control.ts";

const SETTINGS = { leaveNoticeMs: 2_500, drainTimeoutMs: 3_000 };

const ANSWER: Answer = {
  ...{ status: 200, contentType: "", body: new Uint8Array(0) },
  ...{ unusedAllowance: 0, loads: [] },
};

const test = suite("stop control");

/** Starts a stop in which answers end after 5.5 s. */
function createStop(durationsMs: readonly number[] = []) {
  const clock = new ManualClock();
  const stop = new StopControl(clock);
  durationsMs.forEach((durationMs) => stop.record("plans", durationMs));
  const begin = () =>
    stop.begin(createStopSchedule(clock.monotonicMs(), SETTINGS));
  const isBegun = (limitMs = 9_000, receivedAtMs = clock.monotonicMs()) =>
    stop.check({ kind: "plans", limitMs, receivedAtMs }) === undefined;
  return { clock, stop, begin, isBegun };
}

test("everything is begun before a stop", () => {
  const { isBegun, stop } = createStop([60_000]);
  assert.ok(isBegun());
  assert.equal(stop.counts, { refused: 0, overran: 0, cutOff: 0 });
});

test("what was sent at 2.7 s and runs 2.5 s is begun, and not what is sent at 3.0 s", () => {
  const { begin, clock, isBegun, stop } = createStop([60, 900, 2_500]);
  begin();
  clock.advance(2_700);
  assert.ok(isBegun());
  clock.advance(300);
  assert.not(isBegun());
  assert.is(stop.counts.refused, 1);
});

test("a request whose caller or route gives up in time is begun, as it ends in any case", () => {
  const { begin, clock, isBegun } = createStop([5_000]);
  begin();
  clock.advance(4_500);
  assert.ok(isBegun(1_000));
  assert.not(isBegun(1_001));
});

test("a kind that was never measured is begun in the first half of the stop", () => {
  const { begin, clock, isBegun } = createStop();
  begin();
  clock.advance(2_750);
  assert.ok(isBegun());
  clock.advance(1);
  assert.not(isBegun());
});

test("one slow request of many does not refuse a kind for good", () => {
  const { begin, clock, isBegun } = createStop([
    9_000,
    ...Array.from({ length: 127 }, () => 100),
  ]);
  begin();
  clock.advance(2_700);
  assert.ok(isBegun());
});

// Guards against requests that are begun late because their kind is short as a rule, and are cut off at the end of the stop.
test("late in a stop a request is begun only if its time limit passes before the end, whatever was measured", () => {
  const { begin, clock, isBegun } = createStop(
    Array.from({ length: 128 }, () => 100),
  );
  begin();
  clock.advance(2_801);
  assert.not(isBegun(6_000));
  assert.not(isBegun(2_700));
  assert.ok(isBegun(2_699));
});

test("a request received early in a stop may be sent once more as long as it is expected to end", () => {
  const { begin, clock, isBegun } = createStop([1_000]);
  const startedAtMs = clock.monotonicMs();
  begin();
  clock.advance(4_000);
  assert.ok(isBegun(9_000, startedAtMs + 2_000));
  clock.advance(500);
  assert.not(isBegun(9_000, startedAtMs + 2_000));
});

test("a nested call ends before the answers of the stop do", () => {
  const { begin, clock, stop } = createStop();
  assert.is(stop.computeNestedLimitMs(), Number.POSITIVE_INFINITY);
  begin();
  clock.advance(3_000);
  assert.is(stop.computeNestedLimitMs(), 2_400);
});

test("short stops begin requests on an estimate in their first half only", () => {
  const clock = new ManualClock();
  const stop = new StopControl(clock);
  stop.record("plans", 100);
  const schedule = { leaveNoticeMs: 250, drainTimeoutMs: 450 };
  stop.begin(createStopSchedule(clock.monotonicMs(), schedule));
  const isBegun = () =>
    stop.check({
      ...{ kind: "plans", limitMs: 9_000, receivedAtMs: clock.monotonicMs() },
    }) === undefined;
  clock.advance(500);
  assert.ok(isBegun());
  clock.advance(1);
  assert.not(isBegun());
});

// Guards against a kind that is refused from the beginning of a stop because of one time-out.
test("one slow request of twenty does not refuse a kind, and none of two minutes ago", () => {
  const durationsMs = [9_000, ...Array.from({ length: 19 }, () => 100)];
  const many = createStop(durationsMs);
  many.begin();
  many.clock.advance(2_700);
  assert.ok(many.isBegun());
  const old = createStop([9_000, 9_000]);
  old.clock.advance(121_000);
  old.stop.record("plans", 100);
  old.begin();
  old.clock.advance(2_700);
  assert.ok(old.isBegun());
});

test("one slow request in ten counts, so that it is not cut off", () => {
  const durationsMs = Array.from(
    { length: 128 },
    (_, index) => index % 10 === 0 ? 2_800 : 100,
  );
  const { begin, clock, isBegun } = createStop(durationsMs);
  begin();
  clock.advance(2_700);
  assert.not(isBegun());
});

test("a refusal names the end of the stop, before which a return finds the same daemon", () => {
  const { begin, clock, stop } = createStop([3_000]);
  begin();
  clock.advance(4_000);
  const receivedAtMs = clock.monotonicMs();
  const refusal = stop.check({ kind: "plans", limitMs: 9_000, receivedAtMs });
  assert.is(refusal?.kind, "refused");
  assert.is(refusal?.reason, REASONS.daemonStopping);
  assert.is(refusal?.retryAfterMs, 1_800);
});

test("a process that stood still past the end begins nothing", () => {
  const { begin, clock, isBegun, stop } = createStop([10]);
  begin();
  clock.advance(60_000);
  assert.not(isBegun());
  assert.is(stop.createRefusal().retryAfterMs, 1);
});

test("what is in progress at the end fails, and what comes later at once", async () => {
  const { begin, stop } = createStop();
  begin();
  const never = new Promise<CallResult>(() => undefined);
  const createFailure = () => createUnknownOutcome(REASONS.daemonStopping);
  const running = stop.guard(never, createFailure);
  const unsent = stop.guard(never, () => stop.createRefusal());
  const done = stop.guard(Promise.resolve(ok(ANSWER)), createFailure);
  assert.ok((await done).isOk());
  stop.cutOff();
  assert.is((await running)._unsafeUnwrapErr().kind, "unknown");
  assert.is((await unsent)._unsafeUnwrapErr().kind, "refused");
  assert.ok((await stop.guard(never, createFailure)).isErr());
  assert.equal(stop.counts, { refused: 1, overran: 0, cutOff: 2 });
});

test("requests that take longer than expected are counted", () => {
  const { begin, stop } = createStop([100]);
  begin();
  stop.record("plans", 104);
  stop.record("plans", 500);
  assert.is(stop.counts.overran, 1);
});

test.run();
