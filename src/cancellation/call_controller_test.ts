import * as assert from "uvu/assert";
import { suite } from "uvu";
import { CallController } from "./mod.ts";

const test = suite("call controller");

test("notifies listeners once, and removed ones not at all", () => {
  const controller = new CallController();
  const notified: string[] = [];
  const removed = () => notified.push("removed");
  controller.signal.addEventListener("abort", () => notified.push("first"));
  controller.signal.addEventListener("abort", removed);
  controller.signal.removeEventListener("abort", removed);
  controller.abort("late");
  controller.abort("again");
  assert.equal(notified, ["first"]);
  assert.is(controller.signal.aborted, true);
  assert.is(controller.signal.reason, "late");
});

test("allows a listener to add and remove others during notification", () => {
  const controller = new CallController();
  const notified: string[] = [];
  const second = () => notified.push("second");
  controller.signal.addEventListener("abort", () => {
    notified.push("first");
    controller.signal.removeEventListener("abort", second);
    controller.signal.addEventListener("abort", () => notified.push("late"));
  });
  controller.signal.addEventListener("abort", second);
  controller.abort();
  assert.equal(notified, ["first", "second"]);
});

test("aborts with the signal that it follows, also a native one", () => {
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
