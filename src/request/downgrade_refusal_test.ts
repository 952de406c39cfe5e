import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import { downgradeRefusal } from "./downgrade_refusal.ts";

const notReady = createRefusal(REASONS.notReady, { retryAfterMs: 1_000 });
const keyed = { idempotencyKey: "key", parent: undefined };

test("returns an unknown outcome if a daemon without configuration cannot rule out an earlier attempt", () => {
  const later = downgradeRefusal({ ...keyed, attempt: 2 }, notReady);
  const unstated = downgradeRefusal({ ...keyed, attempt: 0 }, notReady);
  assert.equal([later.kind, unstated.kind], ["unknown", "unknown"]);
});

test("keeps the refusal of a stated first attempt and of a call without a key", () => {
  const first = downgradeRefusal({ ...keyed, attempt: 1 }, notReady);
  const unkeyed = { ...keyed, idempotencyKey: "", attempt: 2 };
  assert.is(first, notReady);
  assert.is(downgradeRefusal(unkeyed, notReady), notReady);
});

test("keeps a refusal that does not depend on the configuration", () => {
  const refusal = createRefusal(REASONS.keyRequired);
  assert.is(downgradeRefusal({ ...keyed, attempt: 2 }, refusal), refusal);
});

test.run();
