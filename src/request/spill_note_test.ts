import { ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSpillNote, readSpillNote } from "./spill_note.ts";

const test = suite("spill note");

function createAnswer(headers: readonly string[]) {
  const body = new Uint8Array(0);
  return ok({
    ...{ status: 200, contentType: "", body, headers },
    ...{ unusedAllowance: 0, loads: [] },
  });
}

test("an answer carries the average load and the domains that send calls", () => {
  const note = { averageLoad: 1.25, spillReceipts: ["gent-a", "a,b;ü"] };
  assert.equal(readSpillNote(createAnswer(createSpillNote(note))), note);
  const quiet = { averageLoad: 0.5, spillReceipts: [] };
  assert.equal(readSpillNote(createAnswer(createSpillNote(quiet))), quiet);
});

test("without a load there is no note, and an unreadable one is ignored", () => {
  const none = { averageLoad: undefined, spillReceipts: ["gent-a"] };
  assert.equal(createSpillNote(none), []);
  assert.is(readSpillNote(createAnswer([])), undefined);
  for (const value of ["", "-5", "0.5", "x;gent-a"]) {
    const answer = createAnswer(["celeryhollow-load", value]);
    assert.is(readSpillNote(answer), undefined, value);
  }
  const broken = createAnswer(["celeryhollow-load", "500;%"]);
  assert.equal(readSpillNote(broken)?.spillReceipts, [""]);
});

test.run();
