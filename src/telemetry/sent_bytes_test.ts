import { test } from "uvu";
import * as assert from "uvu/assert";
import { SentBytes } from "./sent_bytes.ts";

test("bytes are summed up by purpose and failure domain", () => {
  const sent = new SentBytes();
  sent.record("call", "gent-a", 10);
  sent.record("call", "gent-a", 5);
  sent.record("call", "namur-a", 1);
  sent.record("gossip-ping", "gent-a", 2);
  assert.equal(sent.list(), [
    { purpose: "call", failureDomain: "gent-a", bytes: 15 },
    { purpose: "gossip-ping", failureDomain: "gent-a", bytes: 2 },
    { purpose: "call", failureDomain: "namur-a", bytes: 1 },
  ]);
});

test.run();
