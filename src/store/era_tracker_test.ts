import { test } from "uvu";
import * as assert from "uvu/assert";
import { EraTracker } from "./era_tracker.ts";
import type { EraEvent } from "./era_tracker.ts";

function createTracker() {
  const events: string[] = [];
  const report = ({ kind, era, stated }: EraEvent) =>
    events.push(`${kind} ${era} ${stated}`);
  return { tracker: new EraTracker(report), events };
}

test("the first era and each return are reported once", () => {
  const { tracker, events } = createTracker();
  ["3", "3", "4", "4", "9"].forEach((stated) => tracker.accept(stated));
  assert.equal(events, ["first 3 3", "returned 4 4", "returned 9 9"]);
  assert.is(tracker.era, 9);
});

test("an answer of an earlier era is ignored and changes nothing", () => {
  const { tracker, events } = createTracker();
  tracker.accept("7");
  assert.ok(tracker.accept("6").isErr());
  assert.ok(tracker.accept("6").isErr());
  assert.is(tracker.era, 7);
  assert.equal(events, ["first 7 7", "outdated 7 6"]);
});

test("an answer without a valid era is ignored once an era is known", () => {
  const { tracker, events } = createTracker();
  tracker.accept("7");
  for (const stated of [undefined, "", "eight", "8.5", "-8", "1e3"]) {
    assert.ok(tracker.accept(stated).isErr(), String(stated));
  }
  assert.is(tracker.era, 7);
  assert.equal(
    events.slice(1),
    ["", "eight", "8.5", "-8", "1e3"].map((stated) => `invalid 7 ${stated}`),
  );
});

test("a store that states no era is believed, and the lack is reported", () => {
  const { tracker, events } = createTracker();
  assert.is(tracker.accept(undefined)._unsafeUnwrap(), 0);
  assert.equal(events, ["invalid 0 "]);
  assert.is(tracker.accept("2")._unsafeUnwrap(), 2);
  assert.ok(tracker.accept(undefined).isErr());
});

test.run();
