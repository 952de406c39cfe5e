import { err, ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallSignal } from "../cancellation/mod.ts";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { CallJoiner } from "./call_joiner.ts";
import { createJoinKey } from "./create_join_key.ts";

const EMPTY_BODY = new Uint8Array(0);

function createRun() {
  let finish: (result: CallResult) => void = () => undefined;
  let runs = 0;
  const run = (signal: CallSignal) => {
    runs += 1;
    return new Promise<CallResult>((resolve) => {
      finish = resolve;
      signal.addEventListener(
        "abort",
        () => resolve(err(createUnknownOutcome(REASONS.cancelled))),
      );
    });
  };
  return { run, finish: () => finish(createAnswer()), count: () => runs };
}

function createAnswer(): CallResult {
  return ok({
    status: 200,
    contentType: "",
    body: EMPTY_BODY,
    unusedAllowance: 0,
    loads: [],
  });
}

test("gives a duplicate the outcome of the call in progress", async () => {
  const joiner = new CallJoiner(10);
  const { run, finish, count } = createRun();
  const first = joiner.start("key", new AbortController().signal, run);
  const second = joiner.join("key", new AbortController().signal);
  finish();
  assert.is(await first, await second);
  assert.is(count(), 1);
  assert.is(joiner.join("key", new AbortController().signal), undefined);
  assert.is(joiner.size, 0);
});

test("cancels the call only when its last waiter is cancelled", async () => {
  const joiner = new CallJoiner(10);
  const waiters = [new AbortController(), new AbortController()];
  const { run } = createRun();
  const result = joiner.start("key", waiters[0]!.signal, run);
  void joiner.join("key", waiters[1]!.signal);
  waiters[0]!.abort();
  assert.is(joiner.size, 1);
  waiters[1]!.abort();
  assert.is((await result)._unsafeUnwrapErr().reason, REASONS.cancelled);
});

test("does not join a call that is being cancelled", () => {
  const joiner = new CallJoiner(10);
  const waiter = new AbortController();
  void joiner.start("key", waiter.signal, () => new Promise(() => undefined));
  waiter.abort();
  assert.is(joiner.join("key", new AbortController().signal), undefined);
});

test("runs calls beyond the limit on their own", () => {
  const joiner = new CallJoiner(1);
  const { run, count } = createRun();
  void joiner.start("one", new AbortController().signal, run);
  void joiner.start("two", new AbortController().signal, run);
  assert.is(count(), 2);
  assert.is(joiner.size, 1);
});

test("creates different keys for different Members, targets and bodies", () => {
  const parts = {
    requestId: "request-1",
    member: "member-1",
    service: "stock",
    method: "PUT",
    path: "/levels/1",
    body: new Uint8Array([1]),
  };
  const keys = [
    parts,
    { ...parts, member: "member-2" },
    { ...parts, path: "/levels/2" },
    { ...parts, body: new Uint8Array([2]) },
  ].map(createJoinKey);
  assert.is(new Set(keys).size, 4);
  assert.is(createJoinKey({ ...parts }), keys[0]);
});

test.run();
