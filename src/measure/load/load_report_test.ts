import * as assert from "uvu/assert";
import { suite } from "uvu";
import {
  computeRecoveryMs,
  computeWastedWorkRatio,
  countRequests,
  FINAL_OUTCOMES,
  LoadRecorder,
} from "./mod.ts";
import type { FinalOutcome, LoadReport } from "./mod.ts";

const test = suite("load reports");

const BUCKET_MS = 100;

function createReport(outcomes: readonly FinalOutcome[]): LoadReport {
  const recorder = new LoadRecorder(BUCKET_MS);
  for (const [index, outcome] of outcomes.entries()) {
    recorder.record({
      requestId: `request-${index}`,
      className: index % 2 === 0 ? "deliveries" : "rounds",
      startedAtMs: index * BUCKET_MS,
      endedAtMs: index * BUCKET_MS + 150,
      attempts: 2,
      outcome,
      reason: outcome === FINAL_OUTCOMES.answered ? "" : "overloaded-entry",
    });
  }
  return recorder.createReport({});
}

test("requests are counted in the bucket in which they started", () => {
  const report = createReport(["answered", "refused", "answered"]);
  assert.equal(countRequests(report, { fromMs: 100, untilMs: 300 }), {
    offered: 2,
    answered: 1,
    attempts: 4,
    completed: 1,
  });
  const classNames = ["rounds"];
  assert.is(
    countRequests(report, { fromMs: 0, untilMs: 300, classNames }).offered,
    1,
  );
  assert.equal(report.buckets[1]?.byClass["rounds"]?.reasons, {
    "overloaded-entry": 1,
  });
});

test("recovery ends with the last bucket below the required ratio", () => {
  const report = createReport([
    "refused",
    "answered",
    "lost",
    "answered",
    "answered",
  ]);
  const options = { triggerEndMs: 100, untilMs: 500, answeredRatio: 0.95 };
  assert.is(computeRecoveryMs(report, options), 200);
});

test("the recovery time of a fleet that does not recover is the whole evaluated interval", () => {
  const report = createReport(["answered", "answered", "lost"]);
  const options = { triggerEndMs: 100, untilMs: 300, answeredRatio: 0.95 };
  assert.is(computeRecoveryMs(report, options), 200);
});

test("work for unanswered requests counts as wasted", () => {
  const report = createReport(["answered", "refused"]);
  const runs = ["request-0", "request-0", "request-0", "request-1"].map((
    requestId,
  ) => ({
    requestId,
    idempotencyKey: "",
    service: "stock",
    member: "",
    atMs: 0,
    isFinished: true,
    deadlineMs: 0,
  }));
  assert.is(computeWastedWorkRatio(report, runs), 0.25);
});

test.run();
