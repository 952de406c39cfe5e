import { suite } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ObjectApiStandIn } from "../testing/object_api_stand_in.ts";
import { HttpObjectStore } from "./http_object_store.ts";
import type { StoreCall } from "./http_object_store.ts";
import { createStoreTiming } from "./store_timing.ts";
import { NO_VERSION } from "./store_version.ts";
import type { StoreVersion } from "./store_version.ts";

interface Context {
  api: ObjectApiStandIn;
  link: LinkStandIn;
  clock: ManualClock;
  store: HttpObjectStore;
  calls: StoreCall[];
}

const KEY = "key";
const NETWORK = await claimNetwork();
const ROUTE = {
  listenAddress: `127.${NETWORK}.2.2`,
  listenPort: 7401,
  targetAddress: `127.${NETWORK}.2.1`,
  targetPort: 7400,
};

/** Ends a test that would wait for ever, in milliseconds; nothing is asserted on it. */
const GUARD_MS = 5_000;

/** Delay after which the store executes a write whose caller has given up, in milliseconds. */
const LATE_MS = 50;

const timing = createStoreTiming(4_000);

const test = suite<Context>("HTTP store client");

test.before.each(async (context) => {
  context.api = new ObjectApiStandIn();
  await context.api.listen(ROUTE.targetAddress, ROUTE.targetPort);
  context.link = new LinkStandIn();
  await context.link.open(ROUTE);
  context.clock = new ManualClock();
  context.calls = [];
  context.store = new HttpObjectStore(
    `http://${ROUTE.listenAddress}:${ROUTE.listenPort}`,
    {
      ...{ clock: context.clock, timing },
      reportCall: (call) => context.calls.push(call),
    },
  );
});

test.after.each(async ({ api, link, store }) => {
  await store.close();
  link.close();
  api.close();
});

/** The value of a call, or `pending` if it gets none although no time passes on the manual clock. */
function settleCall<T>(call: Promise<T>): Promise<T | "pending"> {
  return Promise.race([
    call,
    new Promise<"pending">((resolve) =>
      setTimeout(() => resolve("pending"), GUARD_MS).unref()
    ),
  ]);
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

/** Leaves idle connections, starts a watch, and silences all connections; returns the watch in progress. */
async function silenceDuringWatch({ api, link, store }: Context) {
  const written = await store.write(KEY, 1, NO_VERSION);
  const version = written._unsafeUnwrap();
  await Promise.all([store.read(KEY), store.read(KEY), store.read(KEY)]);
  const watching = store.watch(KEY, version, timing.watchTimeoutMs);
  await waitUntil(() => api.counts.watches === 1);
  link.silenceFlows();
  return { watching };
}

// Users saw configurations seconds late: a watch on a silent connection ended
// after 11 s, and the next calls went to idle connections that were as silent.
test("a watch on a silent connection ends after its timeout and the grace, and the next read uses a new connection", async (context) => {
  const { clock, store, calls } = context;
  const { watching } = await silenceDuringWatch(context);
  clock.advance(timing.watchTimeoutMs + timing.watchGraceMs);
  const watched = await settleCall(watching);
  assert.ok(watched !== "pending" && watched.isErr());
  assert.is(watched._unsafeUnwrapErr().reason, "silent");
  assert.equal(calls.at(-1), {
    kind: "watch",
    outcome: "silent",
    durationMs: timing.watchTimeoutMs + timing.watchGraceMs,
  });
  for (let count = 0; count < 4; count += 1) {
    const read = await settleCall(store.read(KEY));
    assert.ok(read !== "pending" && read.isOk());
    assert.is(read._unsafeUnwrap()?.value, 1);
  }
});

test("a refused connection is no silence, and calls in progress on old connections may still be answered", async ({ api, clock, link, store }) => {
  const written = await store.write(KEY, 1, NO_VERSION);
  const version = written._unsafeUnwrap();
  const watching = store.watch(KEY, version, timing.requestTimeoutMs * 2);
  await waitUntil(() => api.counts.watches === 1);
  api.faults.delayMs = GUARD_MS;
  const read = store.read(KEY);
  clock.advance(timing.requestTimeoutMs);
  assert.is((await read)._unsafeUnwrapErr().reason, "silent");
  api.faults.delayMs = 0;
  await store.write(KEY, 2, version);
  assert.is((await watching)._unsafeUnwrap()?.value, 2);
  link.resetFlows();
  link.cut();
  const refused = await store.read(KEY);
  assert.is(refused._unsafeUnwrapErr().reason, "connection");
});

/** Silences all connections, and has a conditional write end by its timeout; returns its result. */
async function writeInSilence(
  { clock, link, store }: Context,
  version: StoreVersion,
) {
  link.silenceFlowsForGood();
  const writing = store.write(KEY, 2, version);
  clock.advance(timing.requestTimeoutMs);
  const result = await settleCall(writing);
  assert.ok(result !== "pending" && result.isErr());
  return result.error;
}

// Users saw connections to the store go silent for good: a write among them may
// neither wait for ever nor take an idle connection that is as silent.
test("a conditional write on a silent connection is unsure after its timeout, and the next calls use new connections", async (context) => {
  const { api, store, calls } = context;
  const version = (await store.write(KEY, 1, NO_VERSION))._unsafeUnwrap();
  await Promise.all([store.read(KEY), store.read(KEY), store.read(KEY)]);
  const failure = await writeInSilence(context, version);
  assert.is(failure.kind, "unsure");
  assert.is(failure.reason, "silent");
  assert.is(calls.at(-1)?.durationMs, timing.requestTimeoutMs);
  const retried = await settleCall(Promise.all([
    store.read(KEY),
    store.read(KEY),
    store.write(KEY, 2, version),
  ]));
  assert.ok(retried !== "pending");
  assert.ok(retried.every((result) => result.isOk()));
  assert.is(api.peek(KEY)?.value, 2);
});

test("a write that the store executes after its timeout is a conflict for the next one, and is not overwritten", async (context) => {
  const { api, clock, store } = context;
  const version = (await store.write(KEY, 1, NO_VERSION))._unsafeUnwrap();
  api.faults.delayMs = LATE_MS;
  const writing = store.write(KEY, 2, version);
  await waitUntil(() => api.counts.arrivals === 2);
  clock.advance(timing.requestTimeoutMs);
  assert.is((await writing)._unsafeUnwrapErr().kind, "unsure");
  await waitUntil(() => api.peek(KEY)?.value === 2);
  api.faults.delayMs = 0;
  const retried = await store.write(KEY, 3, version);
  assert.is(retried._unsafeUnwrapErr().kind, "conflict");
  assert.is(retried._unsafeUnwrapErr().current?.value, 2);
  assert.is(api.peek(KEY)?.value, 2);
});

test.run();
