import { err, ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import { AttemptHistory } from "./attempt_history.ts";

function createErrorAnswer() {
  return ok({
    status: 503,
    contentType: "text/plain",
    body: new Uint8Array([7]),
    unusedAllowance: 2,
    loads: [],
  });
}

test("passes an error answer on unchanged even if a later attempt was refused", () => {
  const history = new AttemptHistory();
  assert.is(history.record(createErrorAnswer())?.reason, REASONS.backendFailed);
  const refusal = createRefusal(REASONS.overloadedInstance);
  history.record(err(refusal));
  const answer = history.buildResult(refusal, 1)._unsafeUnwrap();
  assert.equal(
    [answer.status, [...answer.body], answer.unusedAllowance, answer.isGivenUp],
    [503, [7], 1, true],
  );
});

test("never returns a refusal if an attempt may have run", () => {
  const history = new AttemptHistory();
  history.record(err(createUnknownOutcome(REASONS.connectionLost)));
  const refusal = createRefusal(REASONS.noInstance);
  history.record(err(refusal));
  assert.is(history.buildResult(refusal, 0)._unsafeUnwrapErr().kind, "unknown");
});

test("returns a refusal marked as given up if all attempts were refused", () => {
  const history = new AttemptHistory();
  const refusal = createRefusal(REASONS.overloadedInstance, {
    retryAfterMs: 70,
  });
  history.record(err(refusal));
  assert.is(history.overloadedCount, 1);
  const failure = history.buildResult(refusal, 2)._unsafeUnwrapErr();
  assert.equal([failure.kind, failure.isGivenUp], ["refused", true]);
});

// An overloaded service with one instance was logged as one without instances.
test("if no instance is left, the reason of the last attempt is kept", () => {
  const history = new AttemptHistory();
  const none = createRefusal(REASONS.noInstance);
  history.record(err(none));
  const untried = history.buildResult(none, 0)._unsafeUnwrapErr();
  assert.is(untried.triedReason, undefined);
  history.record(err(createRefusal(REASONS.overloadedInstance)));
  history.record(err(none));
  const { reason, triedReason } = history.buildResult(none, 0)
    ._unsafeUnwrapErr();
  assert.equal(
    [reason, triedReason],
    [REASONS.noInstance, REASONS.overloadedInstance],
  );
});

test("treats an answer without a server error as success", () => {
  const history = new AttemptHistory();
  const answer = createErrorAnswer().map((each) => ({ ...each, status: 404 }));
  assert.is(history.record(answer), undefined);
});

test.run();
