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

test("an error answer is passed on whole, though a later attempt was refused", () => {
  const history = new AttemptHistory();
  assert.is(history.note(createErrorAnswer())?.reason, REASONS.backendFailed);
  const refusal = createRefusal(REASONS.overloadedInstance);
  history.note(err(refusal));
  const answer = history.settle(refusal, 1)._unsafeUnwrap();
  assert.equal(
    [answer.status, [...answer.body], answer.unusedAllowance, answer.isGivenUp],
    [503, [7], 1, true],
  );
});

test("an attempt that may have run is never turned into a refusal", () => {
  const history = new AttemptHistory();
  history.note(err(createUnknownOutcome(REASONS.connectionLost)));
  const refusal = createRefusal(REASONS.noInstance);
  history.note(err(refusal));
  assert.is(history.settle(refusal, 0)._unsafeUnwrapErr().kind, "unknown");
});

test("attempts that were all refused stay a refusal, given up for hops above", () => {
  const history = new AttemptHistory();
  const refusal = createRefusal(REASONS.overloadedInstance, {
    retryAfterMs: 70,
  });
  history.note(err(refusal));
  assert.is(history.overloadedCount, 1);
  const failure = history.settle(refusal, 2)._unsafeUnwrapErr();
  assert.equal([failure.kind, failure.isGivenUp], ["refused", true]);
});

test("an answer that is no server error is a success", () => {
  const history = new AttemptHistory();
  const answer = createErrorAnswer().map((each) => ({ ...each, status: 404 }));
  assert.is(history.note(answer), undefined);
});

test.run();
