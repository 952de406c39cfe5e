import * as assert from "uvu/assert";
import { test } from "uvu";
import type { MemberRecord } from "../generated/types.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { KEY_LIFETIME_MS } from "./key_ledger.ts";
import { SuccessorTable } from "./successor_table.ts";

function createRecord(incarnation: string, successor: string): MemberRecord {
  return {
    ...{ incarnation, successor },
    address: "127.0.0.1",
    peerPort: 1,
    region: "vlaanderen",
    failureDomain: "gent-a",
    startedAtMs: 0,
    version: 1,
    state: "leaving",
    service: "",
    slots: 0,
    inFlight: 0,
    warmAtMs: 0,
  };
}

test("a daemon without a known successor holds its own keys", () => {
  const table = new SuccessorTable(new ManualClock());
  table.update([createRecord("one", "")]);
  assert.is(table.findHolder("one"), "one");
});

test("follows chains of successors and terminates on cycles", () => {
  const table = new SuccessorTable(new ManualClock());
  table.update([createRecord("one", "two"), createRecord("two", "three")]);
  assert.is(table.findHolder("one"), "three");
  table.update([createRecord("three", "one")]);
  assert.ok(["one", "two", "three"].includes(table.findHolder("one")));
});

test("keeps a successor for the lifetime of the keys", () => {
  const clock = new ManualClock();
  const table = new SuccessorTable(clock);
  table.update([createRecord("one", "two")]);
  clock.advance(KEY_LIFETIME_MS);
  table.update([]);
  assert.is(table.findHolder("one"), "two");
  clock.advance(1);
  table.update([]);
  assert.is(table.findHolder("one"), "one");
});

test("an unknown daemon is reported as missing for a while", () => {
  const clock = new ManualClock();
  const table = new SuccessorTable(clock);
  table.recordMissing("one");
  assert.equal([table.isMissing("one"), table.isMissing("two")], [true, false]);
  clock.advance(5_001);
  assert.not(table.isMissing("one"));
});

test.run();
