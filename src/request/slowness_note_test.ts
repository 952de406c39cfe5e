import { err, ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import { HandBacks } from "./hand_backs.ts";
import { createSlownessNote, readSlownessNote } from "./slowness_note.ts";

const test = suite("slowness note");

function createAnswer(headers: readonly string[]) {
  const body = new Uint8Array(0);
  return ok({
    ...{ status: 200, contentType: "", body, headers },
    ...{ unusedAllowance: 0, loads: [] },
  });
}

test("a reply carries the figure with its age, and nothing without one", () => {
  const note = createSlownessNote({ ratio: 2.5, ageMs: 30.4 });
  assert.equal(readSlownessNote(createAnswer(["etag", "1", ...note])), {
    ratio: 2.5,
    ageMs: 30,
  });
  assert.equal(createSlownessNote(undefined), []);
  assert.is(readSlownessNote(createAnswer([])), undefined);
  const refusal = err(createRefusal(REASONS.slowInstance));
  assert.is(readSlownessNote(refusal), undefined);
});

test("an unreadable note of another build is ignored", () => {
  for (const value of ["", "250", "0;5", "-1;5", "2.5;5", "250;5;9"]) {
    const answer = createAnswer(["celeryhollow-slowness", value]);
    assert.is(readSlownessNote(answer), undefined, value);
  }
});

test("a call is handed back twice at most, and never again once no other instance is left", () => {
  const handBacks = new HandBacks();
  const excluded = new Set(["one", "two", "broken"]);
  handBacks.record("one");
  assert.is(handBacks.isAllowed, true);
  handBacks.record("two");
  assert.is(handBacks.isAllowed, false);
  assert.is(handBacks.releaseInto(excluded), true);
  assert.equal([...excluded], ["broken"]);
  assert.is(handBacks.releaseInto(excluded), false);
  assert.is(new HandBacks().releaseInto(excluded), false);
});

test.run();
