import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { CallContext } from "../generated/types.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { AdaptiveAdmission } from "./adaptive_admission.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";

const test = suite("admission at the backend server");

interface Fixture {
  readonly clock: ManualClock;
  readonly admission: AdaptiveAdmission;
  readonly metrics: DaemonMetrics;
  readonly states: Map<string, string>;
  readonly permits: Map<string, Permit>;
  enter(name: string, changes?: CallChanges): Promise<void>;
  release(name: string, durationMs?: number): Promise<void>;
}

type CallChanges = Partial<Omit<InboundCall, "context">> & {
  readonly context?: Partial<CallContext>;
  readonly timeLeftMs?: number;
};

function createFixture(
  { slots = 2, reservedRatios = [0, 0, 0] } = {},
): Fixture {
  const clock = new ManualClock();
  const metrics = new DaemonMetrics();
  const admission = new AdaptiveAdmission({
    clock,
    journal: new DecisionJournal(clock),
    metrics,
    instance: 1,
    listReservedRatios: () => reservedRatios,
  });
  admission.setCapacity(slots);
  const states = new Map<string, string>();
  const permits = new Map<string, Permit>();
  return {
    clock,
    admission,
    metrics,
    states,
    permits,
    async enter(name, changes = {}) {
      states.set(name, "waiting");
      const entered = admission.acquire(createCall(clock, changes));
      void entered.then((permit) => {
        states.set(name, permit.isOk() ? "running" : permit.error.reason);
        if (permit.isOk()) {
          permits.set(name, permit.value);
        }
      });
      await settle();
    },
    async release(name, durationMs = 20) {
      clock.advance(durationMs);
      permits.get(name)?.release({
        durationMs,
        ownDurationMs: durationMs,
        isAnswered: true,
        isShed: false,
      });
      await settle();
    },
  };
}

function createCall(clock: ManualClock, changes: CallChanges): InboundCall {
  const { context, timeLeftMs = 1_000, ...rest } = changes;
  return {
    context: {
      requestId: "request-1",
      requestName: "fetch-round",
      className: "rounds",
      member: "member-1",
      tenant: "members",
      remainingMs: timeLeftMs,
      retryAllowance: 3,
      depth: 0,
      isRepeatable: true,
      isBulk: false,
      ...context,
    },
    service: "stock",
    deadlineAtMs: clock.monotonicMs() + timeLeftMs,
    classRank: 1,
    signal: new AbortController().signal,
    ...rest,
  };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) {
    await Promise.resolve();
  }
}

const NESTED = { context: { depth: 2 } };

test("runs at most as many calls as there are slots, and the next one when a call ends", async () => {
  const { enter, release, states } = createFixture();
  await enter("a");
  await enter("b");
  await enter("c");
  assert.equal([...states.values()], ["running", "running", "waiting"]);
  await release("a");
  assert.is(states.get("c"), "running");
});

test("runs nested calls before new chains, whatever arrived first", async () => {
  const { enter, release, states } = createFixture({ slots: 1 });
  await enter("a");
  await enter("new");
  await enter("nested", NESTED);
  await release("a");
  assert.is(states.get("nested"), "running");
  assert.is(states.get("new"), "waiting");
});

// Direct requests to a service that trees of their class overload were never run.
test("runs a new chain while nested calls of its class arrive faster than slots become free", async () => {
  const { enter, release, states } = createFixture({ slots: 1 });
  await enter("nested-0", NESTED);
  await enter("nested-1", NESTED);
  await enter("new", { timeLeftMs: 4_000 });
  for (let calls = 0; states.get("new") === "waiting"; calls += 1) {
    assert.ok(calls < 10, "ten nested calls in a row");
    await enter(`nested-${calls + 2}`, NESTED);
    await release(`nested-${calls}`);
  }
  assert.is(states.get("new"), "running");
});

test("runs the most important class first among new chains", async () => {
  const { enter, release, states } = createFixture({ slots: 1 });
  await enter("a");
  await enter("bulk", { classRank: 2 });
  await enter("delivery", { classRank: 0 });
  await release("a");
  assert.is(states.get("delivery"), "running");
  assert.is(states.get("bulk"), "waiting");
});

test("runs the Member with less recent usage first within a class", async () => {
  const { enter, release, states } = createFixture({ slots: 1 });
  await enter("a", { context: { member: "greedy" } });
  await enter("greedy", { context: { member: "greedy" } });
  await enter("modest", { context: { member: "modest" } });
  await release("a");
  assert.is(states.get("modest"), "running");
  assert.is(states.get("greedy"), "waiting");
});

test("refuses a new chain that got no slot within a quarter of its remaining time", async () => {
  const { clock, enter, states } = createFixture({ slots: 1 });
  await enter("a");
  await enter("b", { timeLeftMs: 400 });
  clock.advance(99);
  await settle();
  assert.is(states.get("b"), "waiting");
  clock.advance(1);
  await settle();
  assert.is(states.get("b"), "queue-expired");
});

test("lets a nested call wait as long as it can still finish in time", async () => {
  const { clock, enter, states } = createFixture({ slots: 1 });
  await enter("a");
  await enter("b", { ...NESTED, timeLeftMs: 400 });
  clock.advance(370);
  await settle();
  assert.is(states.get("b"), "waiting");
  clock.advance(30);
  await settle();
  assert.is(states.get("b"), "queue-expired");
});

test("refuses a call that cannot get a slot in time, without queuing it", async () => {
  const { enter, states } = createFixture({ slots: 1 });
  await enter("a");
  await enter("b", { timeLeftMs: 40 });
  assert.is(states.get("b"), "overloaded-instance");
});

test("queues an important call ahead of all calls of less important classes", async () => {
  const { enter, release, states } = createFixture({ slots: 1 });
  await enter("a");
  for (let call = 0; call < 20; call += 1) {
    await enter(`round-${call}`, { ...NESTED, timeLeftMs: 300 });
  }
  assert.is(states.get("round-19"), "overloaded-instance");
  await enter("delivery", { ...NESTED, timeLeftMs: 300, classRank: 0 });
  assert.is(states.get("delivery"), "waiting");
  await release("a");
  assert.is(states.get("delivery"), "running");
  assert.is(states.get("round-0"), "waiting");
});

test("refuses queued calls early when more important ones delay them too long", async () => {
  const { clock, enter, states } = createFixture({ slots: 1 });
  await enter("a");
  for (let call = 0; call < 10; call += 1) {
    await enter(`round-${call}`, { ...NESTED, timeLeftMs: 300 });
  }
  assert.is(states.get("round-9"), "waiting");
  for (let call = 0; call < 10; call += 1) {
    await enter(`delivery-${call}`, {
      ...NESTED,
      classRank: 0,
      timeLeftMs: 300,
    });
  }
  clock.advance(50);
  await enter("delivery-10", { ...NESTED, classRank: 0, timeLeftMs: 500 });
  assert.is(states.get("delivery-0"), "waiting");
  assert.is(states.get("round-9"), "overloaded-instance");
});

test("removes a cancelled call from the queue", async () => {
  const { admission, enter, states } = createFixture({ slots: 1 });
  const controller = new AbortController();
  await enter("a");
  await enter("b", { signal: controller.signal });
  controller.abort();
  await settle();
  assert.is(states.get("b"), "cancelled");
  assert.is(admission.pendingCalls, 1);
});

test("keeps reserved slots free for a class that has demand", async () => {
  const { clock, enter, release, states } = createFixture({
    slots: 4,
    reservedRatios: [0.25, 0, 0],
  });
  await enter("delivery-1", { classRank: 0 });
  await release("delivery-1");
  clock.advance(100);
  for (const name of ["a", "b", "c", "d"]) {
    await enter(name);
  }
  assert.is(states.get("d"), "waiting");
  await enter("delivery-2", { classRank: 0 });
  assert.is(states.get("delivery-2"), "running");
});

test("lowers the admit ratio of the least important class first under overload", async () => {
  const { admission, clock, enter } = createFixture({ slots: 1 });
  for (let call = 0; call < 60; call += 1) {
    await enter(`round-${call}`, { ...NESTED, classRank: 1 + call % 2 });
    await enter(`delivery-${call}`, { ...NESTED, classRank: 0 });
    clock.advance(10);
  }
  const [deliveries = 0, rounds = 0, bulk = 0] =
    admission.describeLoad("stock").admitPermille ?? [];
  assert.ok(deliveries >= rounds && rounds >= bulk, `${rounds} ${bulk}`);
  assert.ok(bulk < 500);
});

test("reports an admit ratio of 1 without load", () => {
  const { admission } = createFixture();
  assert.equal(admission.describeLoad("stock").admitLevel, 1);
});

test("calls beyond the backend server's limit are turned away at once, and last resorts wait by class", async () => {
  const { admission, clock, enter, release, states } = createFixture({
    slots: 20,
  });
  admission.setRequestRate(4);
  clock.advance(250);
  await enter("first");
  await enter("beyond");
  await enter("lesser", {
    ...{ classRank: 2, isLastResort: true, timeLeftMs: 4_000 },
  });
  await enter("important", {
    ...{ classRank: 0, isLastResort: true, timeLeftMs: 4_000 },
  });
  assert.is(states.get("first"), "running");
  assert.is(states.get("beyond"), "limited-instance");
  await release("first", 250);
  assert.is(states.get("important"), "running");
  assert.is(states.get("lesser"), "waiting");
});

test("a limit turns away what had queued before it was named", async () => {
  const { admission, enter, release, states } = createFixture({ slots: 1 });
  await enter("running");
  await enter("queued");
  admission.setRequestRate(4);
  await release("running");
  assert.is(states.get("queued"), "limited-instance");
});

test("before the first statement of a server few calls run, and the others wait for it", async () => {
  const { admission, enter, release, states } = createFixture({
    slots: 20,
  });
  admission.awaitFirstStatement();
  for (let index = 0; index < 6; index += 1) {
    await enter(`call-${index}`);
  }
  assert.equal([...states.values()].filter((state) => state === "running"), [
    "running",
    "running",
    "running",
  ]);
  await release("call-0");
  assert.is(states.get("call-3"), "running");
  admission.setRequestRate(undefined);
  await enter("last");
  assert.ok([...states.values()].every((state) => state === "running"));
});

// A server that turns requests away for its own limit would have lost slots that it has.
test("what a server sheds while it names a limit does not lower its concurrency limit", async () => {
  const { admission, clock, enter, permits } = createFixture({ slots: 20 });
  admission.setRequestRate(40);
  for (let round = 0; round < 10; round += 1) {
    clock.advance(250);
    for (let index = 0; index < 10; index += 1) {
      await enter(`call-${index}`);
    }
    clock.advance(20);
    for (const permit of permits.values()) {
      permit.release({
        ...{ durationMs: 20, ownDurationMs: 20 },
        ...{ isAnswered: false, isShed: true },
      });
    }
    permits.clear();
  }
  assert.is(admission.describeLoad("stock").limit, 20);
});

test("a slow VM hands a call back that would finish sooner elsewhere, until its figure is old", async () => {
  const { admission, states, enter, release } = createFixture();
  await enter("first");
  await release("first", 100);
  admission.observeSlowness(2.5);
  await enter("movable", { elsewhereMs: 110 });
  await enter("elsewhere as slow", { elsewhereMs: 250 });
  await enter("of an older build");
  assert.is(states.get("movable"), "slow-instance");
  assert.is(states.get("elsewhere as slow"), "running");
  assert.is(states.get("of an older build"), "running");
  await release("elsewhere as slow", 700);
  await enter("later", { elsewhereMs: 110 });
  assert.is(states.get("later"), "running");
});

test("a waiting call is handed back when the VM becomes slow, and one that must stay waits on", async () => {
  const { admission, states, enter, release } = createFixture();
  await enter("first");
  await release("first", 100);
  admission.observeSlowness(1);
  await enter("running");
  await enter("running too");
  await enter("movable", { elsewhereMs: 150 });
  await enter("must stay");
  assert.is(states.get("movable"), "waiting");
  admission.observeSlowness(2.5);
  await settle();
  assert.is(states.get("movable"), "slow-instance");
  assert.is(states.get("must stay"), "waiting");
});

test("without a slowness figure no call is handed back, whatever its sender expects elsewhere", async () => {
  const { states, enter } = createFixture();
  await enter("running", { elsewhereMs: 1 });
  await enter("running too", { elsewhereMs: 1 });
  await enter("waiting", { elsewhereMs: 1 });
  assert.is(states.get("running"), "running");
  assert.is(states.get("waiting"), "waiting");
});

// Guards against calls that wait at a VM whose daemon stops, until a slot is free or their time is over.
test("waiting calls are handed back at once when the VM leaves, and running ones go on", async () => {
  const { admission, states, enter } = createFixture();
  await enter("running");
  await enter("running too");
  await enter("waiting");
  admission.handBackWaiting();
  await settle();
  assert.is(states.get("running"), "running");
  assert.is(states.get("running too"), "running");
  assert.is(states.get("waiting"), "leaving");
});

// Guards against a reason that does not tell the sender that the VM leaves.
test("a call that waits for the pace of a limit is handed back with the leaving as reason", async () => {
  const { admission, states, enter } = createFixture();
  admission.setRequestRate(2);
  await enter("waiting", { isLastResort: true, timeLeftMs: 9_000 });
  assert.is(states.get("waiting"), "waiting");
  admission.handBackWaiting();
  await settle();
  assert.is(states.get("waiting"), "leaving");
});

// Without the bound, operators cannot tell short time limits from the limit of a standing queue.
test("a wait that ends without a slot is counted with what bounded it", async () => {
  const { clock, enter, metrics, states } = createFixture({ slots: 1 });
  const nested = { context: { depth: 1 } };
  await enter("running", { timeLeftMs: 60_000 });
  await enter("first", { ...nested, timeLeftMs: 60_000 });
  clock.advance(600);
  await enter("capped", { ...nested, timeLeftMs: 20_000 });
  await enter("short of time", { ...nested, timeLeftMs: 50 });
  clock.advance(10_000);
  await settle();
  assert.is(states.get("capped"), "queue-expired");
  assert.is(states.get("short of time"), "overloaded-instance");
  const { values } = await metrics.unservedWaits.get();
  const bounds = values.map(({ labels, value }) => [labels.bound, value]);
  assert.equal(bounds, [["deadline", 1], ["standing-queue", 1]]);
});

test.run();
