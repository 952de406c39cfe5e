import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import { qualifyRefusal } from "./qualify_refusal.ts";

const notReady = createRefusal(REASONS.notReady, { retryAfterMs: 1_000 });
const keyed = { idempotencyKey: "key", parent: undefined };

test("a daemon without configuration cannot tell whether an earlier attempt ran", () => {
  const later = qualifyRefusal({ ...keyed, attempt: 2 }, notReady);
  const unstated = qualifyRefusal({ ...keyed, attempt: 0 }, notReady);
  assert.equal([later.kind, unstated.kind], ["unknown", "unknown"]);
});

test("a stated first attempt and a call without a key are refused", () => {
  const first = qualifyRefusal({ ...keyed, attempt: 1 }, notReady);
  const unkeyed = { ...keyed, idempotencyKey: "", attempt: 2 };
  assert.is(first, notReady);
  assert.is(qualifyRefusal(unkeyed, notReady), notReady);
});

test("a refusal that holds for every attempt stays one", () => {
  const refusal = createRefusal(REASONS.keyRequired);
  assert.is(qualifyRefusal({ ...keyed, attempt: 2 }, refusal), refusal);
});

test.run();
