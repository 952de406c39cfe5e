import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { AcceptWatch } from "./mod.ts";

const test = suite("accept watch");

function createWatch() {
  const clock = new ManualClock();
  const callbacks: (() => void)[] = [];
  const watch = new AcceptWatch({
    clock,
    afterPoll: (callback) => callbacks.push(callback),
  });
  const endTurn = () => {
    clock.advance(10);
    callbacks.splice(0).forEach((callback) => callback());
  };
  return { endTurn, watch };
}

test("connections that are accepted in consecutive turns may all be as old as the first", () => {
  const { endTurn, watch } = createWatch();
  assert.is(watch.record(300), 300);
  endTurn();
  assert.is(watch.record(40), 310);
  endTurn();
  assert.is(watch.record(40), 320);
  assert.ok(watch.isBusy);
});

test("a turn without a connection shows that none was left", () => {
  const { endTurn, watch } = createWatch();
  watch.record(300);
  endTurn();
  assert.ok(watch.isBusy);
  endTurn();
  assert.not(watch.isBusy);
  assert.is(watch.record(40), 40);
});

test.run();
