import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ReplyMessage } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import { convertReplyToResult } from "./convert_reply.ts";

function createAnswer(status: number): ReplyMessage {
  return {
    ...{ kind: "reply", callId: 1, outcome: "answered", reason: "" },
    ...{ retryAfterMs: 0, status, contentType: "", bodyLengthBytes: 0 },
    ...{ unusedAllowance: 2, loads: [] },
  };
}

for (const status of [0, 99, 103, 600, 999]) {
  // An older build passed on statuses that HTTP does not know, and callers took them for answers.
  test(`an answer with the status ${status} is an unknown outcome`, () => {
    const result = convertReplyToResult(
      createAnswer(status),
      new Uint8Array(0),
    );
    assert.ok(result.isErr());
    const { kind, reason, unusedAllowance } = result.error;
    assert.is(kind, "unknown");
    assert.is(reason, REASONS.backendFailed);
    assert.is(unusedAllowance, 2);
  });
}

for (const status of [200, 204, 404, 503, 599]) {
  test(`an answer with the status ${status} is passed on`, () => {
    const result = convertReplyToResult(
      createAnswer(status),
      new Uint8Array(0),
    );
    assert.is(result.isOk() && result.value.status, status);
  });
}

test.run();
