import { err, ok } from "neverthrow";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { Answer, CallResult, Reason } from "../outcome/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { decodeIdempotencyKey } from "./idempotency_key.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import { KEY_LIFETIME_MS, KeyLedger } from "./key_ledger.ts";
import type { KeyUse } from "./key_ledger.ts";
import { RunLedger } from "./run_ledger.ts";

const FLEET_TOKEN = "test-token";
const BOUNDS = { maxEntries: 3, maxAnswerBytes: 8 };

function createAnswer(text: string): Answer {
  return {
    status: 200,
    contentType: "text/plain",
    body: new TextEncoder().encode(text),
    unusedAllowance: 0,
    loads: [],
  };
}

function refuse(reason: Reason): CallResult {
  return err(createRefusal(reason));
}

function createKeyLedger(clock: ManualClock, incarnation = "holder-1") {
  return new KeyLedger({
    incarnation,
    fleetToken: FLEET_TOKEN,
    clock,
    bounds: BOUNDS,
  });
}

function issueKey(ledger: KeyLedger): IdempotencyKey {
  return decodeIdempotencyKey(ledger.issueKey(), FLEET_TOKEN)._unsafeUnwrap();
}

/** Creates a use of a key that counts its dispatches. */
function createUse(result: CallResult, changes: Partial<KeyUse> = {}) {
  const counts = { dispatches: 0 };
  const use: KeyUse = {
    attempt: 0,
    dispatch: () => {
      counts.dispatches += 1;
      return Promise.resolve(result);
    },
    resolveOutcome: () => undefined,
    ...changes,
  };
  return { use, counts };
}

function describe(result: CallResult): string {
  return result.isOk()
    ? `answered ${new TextDecoder().decode(result.value.body)}`
    : `${result.error.kind} ${result.error.reason}`;
}

test("duplicates of a key share one dispatch and its answer", async () => {
  const ledger = createKeyLedger(new ManualClock());
  const key = issueKey(ledger);
  const { use, counts } = createUse(ok(createAnswer("done")));
  const results = await Promise.all([
    ledger.runOnce(key, use),
    ledger.runOnce(key, use),
  ]);
  results.push(await ledger.runOnce(key, use));
  assert.equal(results.map(describe), Array(3).fill("answered done"));
  assert.is(counts.dispatches, 1);
});

test("a key can be dispatched again after a refusal but not after an unknown outcome", async () => {
  const ledger = createKeyLedger(new ManualClock());
  const refused = createUse(refuse(REASONS.noInstance));
  const key = issueKey(ledger);
  await ledger.runOnce(key, refused.use);
  await ledger.runOnce(key, refused.use);
  assert.is(refused.counts.dispatches, 2);
  const unknown = createUse(err(createUnknownOutcome(REASONS.connectionLost)));
  await ledger.runOnce(key, unknown.use);
  const again = await ledger.runOnce(key, unknown.use);
  assert.is(unknown.counts.dispatches, 1);
  assert.is(describe(again), "unknown connection-lost");
});

test("a duplicate after an unknown outcome queries the runner", async () => {
  const ledger = createKeyLedger(new ManualClock());
  const key = issueKey(ledger);
  const settled = Promise.resolve(ok(createAnswer("late")) as CallResult);
  const { use, counts } = createUse(
    err(createUnknownOutcome(REASONS.connectionLost)),
    { resolveOutcome: () => settled },
  );
  await ledger.runOnce(key, use);
  assert.is(describe(await ledger.runOnce(key, use)), "answered late");
  assert.is(describe(await ledger.runOnce(key, use)), "answered late");
  assert.is(counts.dispatches, 1);
});

test("an expired key is refused only if the caller states a first attempt", async () => {
  const clock = new ManualClock();
  const ledger = createKeyLedger(clock);
  const key = issueKey(ledger);
  clock.advance(KEY_LIFETIME_MS + 1);
  const first = createUse(ok(createAnswer("done")), { attempt: 1 });
  const other = createUse(ok(createAnswer("done")), { attempt: 2 });
  assert.is(
    describe(await ledger.runOnce(key, first.use)),
    "refused key-expired",
  );
  assert.is(
    describe(await ledger.runOnce(key, other.use)),
    "unknown key-expired",
  );
  assert.is(first.counts.dispatches + other.counts.dispatches, 0);
});

test("a full ledger refuses new keys and keeps the others until they expire", async () => {
  const clock = new ManualClock();
  const ledger = createKeyLedger(clock);
  const { use, counts } = createUse(ok(createAnswer("x")));
  const keys = Array.from({ length: 4 }, () => issueKey(ledger));
  const results = [];
  for (const key of keys) {
    results.push(describe(await ledger.runOnce(key, use)));
  }
  assert.is(results[3], "refused key-ledger-full");
  await ledger.runOnce(keys[0]!, use);
  assert.is(counts.dispatches, 3);
  clock.advance(KEY_LIFETIME_MS + 1);
  assert.is(
    describe(await ledger.runOnce(issueKey(ledger), use)),
    "answered x",
  );
});

test("the oldest answers are dropped by size, but their keys stay used", async () => {
  const ledger = createKeyLedger(new ManualClock());
  const [first, second] = [issueKey(ledger), issueKey(ledger)];
  const { use, counts } = createUse(ok(createAnswer("12345")));
  await ledger.runOnce(first, use);
  assert.is(describe(await ledger.runOnce(second, use)), "answered 12345");
  assert.is(
    describe(await ledger.runOnce(first, use)),
    "unknown answer-dropped",
  );
  assert.is(describe(await ledger.runOnce(second, use)), "answered 12345");
  assert.is(counts.dispatches, 2);
});

test("a successor knows used keys, waits for those in progress and dispatches unused ones", async () => {
  const clock = new ManualClock();
  const former = createKeyLedger(clock, "former");
  const [used, running, unused] = [
    issueKey(former),
    issueKey(former),
    issueKey(former),
  ];
  const successor = createKeyLedger(new ManualClock(), "successor");
  successor.adoptHolder("former", clock.nowMs());
  successor.adoptOutcome(used, ok(createAnswer("old")));
  successor.adoptOutcome(running, undefined);
  const { use, counts } = createUse(ok(createAnswer("new")));
  const waiting = successor.runOnce(running, use);
  successor.adoptOutcome(running, ok(createAnswer("late")));
  assert.is(describe(await successor.runOnce(used, use)), "answered old");
  assert.is(describe(await waiting), "answered late");
  assert.is(counts.dispatches, 0);
  assert.is(describe(await successor.runOnce(unused, use)), "answered new");
});

test("a successor expires a key when its former holder would have", async () => {
  const formerClock = new ManualClock();
  const former = createKeyLedger(formerClock, "former");
  const key = issueKey(former);
  formerClock.advance(KEY_LIFETIME_MS - 10);
  const clock = new ManualClock();
  const successor = createKeyLedger(clock, "successor");
  successor.adoptHolder("former", formerClock.nowMs());
  clock.advance(11);
  const { use } = createUse(ok(createAnswer("new")));
  assert.is(describe(await successor.runOnce(key, use)), "unknown key-expired");
});

test("a run starts once and later queries return its outcome", async () => {
  const clock = new ManualClock();
  const ledger = new RunLedger(clock);
  const attempt = { runKey: "run-1", startBeforeMs: clock.nowMs() + 100 };
  const { use, counts } = createUse(ok(createAnswer("done")));
  const start = () => use.dispatch({ unresolvedRun: undefined });
  await ledger.runOnce(attempt, start);
  assert.is(describe(await ledger.resolve(attempt)), "answered done");
  assert.is(describe(await ledger.runOnce(attempt, start)), "answered done");
  assert.is(counts.dispatches, 1);
});

test("querying a run that has not started blocks it", async () => {
  const clock = new ManualClock();
  const ledger = new RunLedger(clock);
  const attempt = { runKey: "run-1", startBeforeMs: clock.nowMs() + 100 };
  const { use, counts } = createUse(ok(createAnswer("done")));
  const start = () => use.dispatch({ unresolvedRun: undefined });
  assert.is(describe(await ledger.resolve(attempt)), "refused not-started");
  assert.is(
    describe(await ledger.runOnce(attempt, start)),
    "refused not-started",
  );
  clock.advance(2_000);
  assert.is(
    describe(await ledger.runOnce(attempt, start)),
    "refused deadline-expired",
  );
  assert.is(counts.dispatches, 0);
});

test("a full run ledger removes refused attempts but never blocked ones", async () => {
  const clock = new ManualClock();
  const ledger = new RunLedger(clock, BOUNDS);
  const startBeforeMs = clock.nowMs() + 100;
  const refused = () => Promise.resolve(refuse(REASONS.overloadedInstance));
  const answered = () => Promise.resolve(ok(createAnswer("x")) as CallResult);
  await ledger.resolve({ runKey: "blocked", startBeforeMs });
  await ledger.runOnce({ runKey: "refused-1", startBeforeMs }, refused);
  await ledger.runOnce({ runKey: "refused-2", startBeforeMs }, refused);
  await ledger.runOnce({ runKey: "run-1", startBeforeMs }, answered);
  await ledger.runOnce({ runKey: "run-2", startBeforeMs }, answered);
  const next = { runKey: "run-3", startBeforeMs };
  assert.is(
    describe(await ledger.runOnce(next, answered)),
    "refused key-ledger-full",
  );
  assert.is(describe(await ledger.resolve(next)), "unknown run-forgotten");
  const blocked = { runKey: "blocked", startBeforeMs };
  assert.is(
    describe(await ledger.runOnce(blocked, answered)),
    "refused not-started",
  );
});

test.run();
