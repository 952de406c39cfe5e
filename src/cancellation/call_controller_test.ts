import * as assert from "uvu/assert";
import { suite } from "uvu";
import { CallController } from "./mod.ts";

const test = suite("end of a call");

test("listeners are told once, and those that left are not", () => {
  const controller = new CallController();
  const told: string[] = [];
  const leave = () => told.push("left");
  controller.signal.addEventListener("abort", () => told.push("first"));
  controller.signal.addEventListener("abort", leave);
  controller.signal.removeEventListener("abort", leave);
  controller.abort("late");
  controller.abort("again");
  assert.equal(told, ["first"]);
  assert.is(controller.signal.aborted, true);
  assert.is(controller.signal.reason, "late");
});

test("a listener may add and remove others while it is told", () => {
  const controller = new CallController();
  const told: string[] = [];
  const second = () => told.push("second");
  controller.signal.addEventListener("abort", () => {
    told.push("first");
    controller.signal.removeEventListener("abort", second);
    controller.signal.addEventListener("abort", () => told.push("late"));
  });
  controller.signal.addEventListener("abort", second);
  controller.abort();
  assert.equal(told, ["first", "second"]);
});

test("a call ends with the one it follows, whichever kind of signal that has", () => {
  const outer = new AbortController();
  const inner = new CallController();
  const unrelated = new CallController();
  inner.follow(outer.signal);
  unrelated.follow(outer.signal)();
  outer.abort("gone");
  assert.is(inner.signal.reason, "gone");
  assert.is(unrelated.signal.aborted, false);
  const late = new CallController();
  late.follow(outer.signal);
  assert.is(late.signal.aborted, true);
});

test.run();
