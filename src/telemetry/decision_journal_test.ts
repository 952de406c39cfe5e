import * as assert from "uvu/assert";
import { suite } from "uvu";
import { ManualClock } from "../testing/manual_clock.ts";
import { DecisionJournal, DECISIONS } from "./mod.ts";

const test = suite("decision journal");

test("many refusals do not evict the change that caused them", () => {
  const journal = new DecisionJournal(new ManualClock());
  journal.record(DECISIONS.limitChange, { from: 20, to: 18 });
  for (let refusal = 0; refusal < 10_000; refusal += 1) {
    journal.record(DECISIONS.refusal, { refusal });
  }
  const kinds = journal.list().map(({ kind }) => kind);
  assert.is(kinds[0], DECISIONS.limitChange);
  assert.ok(kinds.length < 1_000);
});

test("entries of all kinds are listed in the order they were recorded", () => {
  const journal = new DecisionJournal(new ManualClock());
  journal.record(DECISIONS.refusal, { step: 1 }, "request-1");
  journal.record(DECISIONS.limitChange, { step: 2 });
  journal.record(DECISIONS.refusal, { step: 3 }, "request-2");
  const steps = journal.list().map(({ facts }) => facts["step"]);
  assert.equal(steps, [1, 2, 3]);
  assert.equal(
    journal.list({ requestId: "request-2" }).map(({ facts }) => facts["step"]),
    [3],
  );
});

test.run();
