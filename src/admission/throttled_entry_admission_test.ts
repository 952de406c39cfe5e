import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CompiledRequest } from "../configuration/mod.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { AdaptiveThrottle } from "./adaptive_throttle.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import { UnprotectedEntryAdmission } from "./entry_admission.ts";
import { ThrottledEntryAdmission } from "./throttled_entry_admission.ts";

/** Slots of the deep service and slot hold time of a call, in milliseconds. */
const DEEP_SLOTS = 20;
const HOLD_MS = 20;

/** Calls to the deep service that one request needs. */
const FAN_OUT = 4;

const STEP_MS = 100;
const CAPACITY_PER_STEP = DEEP_SLOTS * STEP_MS / HOLD_MS;

interface Load {
  /** Requests per step, the important kind first. */
  readonly requests: readonly [number, number];
  /** Share of calls that the deep service sheds independently of its load. */
  readonly shedRatio: number;
}

function createRequest(name: string, classRank: number): CompiledRequest {
  return {
    name,
    classRank,
    className: name,
    service: "deep",
    path: [] as readonly string[],
  } as CompiledRequest;
}

const KINDS = [createRequest("delivery", 0), createRequest("rounds", 2)];

function createAdmission(
  clock: ManualClock,
  journal = new DecisionJournal(clock),
): EntryAdmission {
  return new ThrottledEntryAdmission({
    clock,
    random: new RandomSource(11),
    journal,
    metrics: new DaemonMetrics(),
    readLowestRank: () => 2,
  });
}

/** Runs a load on a service that serves important calls first and drops the excess; returns the served share by kind. */
function runLoad(
  admission: EntryAdmission,
  clock: ManualClock,
  { load, steps }: { readonly load: Load; readonly steps: number },
): number[] {
  const random = new RandomSource(5);
  const offered = [0, 0];
  const served = [0, 0];
  for (let step = 0; step < steps; step += 1) {
    let capacity = CAPACITY_PER_STEP;
    for (const [kind, request] of KINDS.entries()) {
      for (let each = 0; each < (load.requests[kind] ?? 0); each += 1) {
        offered[kind] = (offered[kind] ?? 0) + 1;
        const grant = admission.check({ request, member: "", requestId: "" });
        if (grant.isErr()) {
          continue;
        }
        const calls = Math.min(FAN_OUT, capacity);
        capacity -= calls;
        const isServed = calls === FAN_OUT &&
          random.nextFloat() < (1 - load.shedRatio) ** FAN_OUT;
        admission.recordOutcome(request, { member: "", isServed });
        served[kind] = (served[kind] ?? 0) + Number(isServed);
      }
    }
    clock.advance(STEP_MS);
  }
  return served.map((count, kind) => count / Math.max(1, offered[kind] ?? 0));
}

function countAdmitted(admission: EntryAdmission, shedRatio: number): number {
  const random = new RandomSource(3);
  const [, request] = KINDS;
  let admitted = 0;
  for (let each = 0; each < 400 && request; each += 1) {
    if (admission.check({ request, member: "", requestId: "" }).isOk()) {
      admitted += 1;
      const isServed = random.nextFloat() < (1 - shedRatio) ** FAN_OUT;
      admission.recordOutcome(request, { member: "", isServed });
    }
  }
  return admitted;
}

test("refuses nothing while the path can handle the load", () => {
  const clock = new ManualClock();
  const load: Load = { requests: [10, 10], shedRatio: 0 };
  const shares = runLoad(createAdmission(clock), clock, { load, steps: 50 });
  assert.equal(shares, [1, 1]);
});

/** A deep service sheds about half of its calls, and each request needs four of them. */
test("refuses most requests of a kind that mostly fails downstream", () => {
  const clock = new ManualClock();
  const unprotected = countAdmitted(new UnprotectedEntryAdmission(), 0.55);
  const throttled = countAdmitted(createAdmission(clock), 0.55);
  assert.is(unprotected, 400);
  assert.ok(throttled < 100, `${throttled} requests started`);
});

test("serves the important kind completely while the other one is refused", () => {
  const clock = new ManualClock();
  const load: Load = { requests: [10, 30], shedRatio: 0 };
  const [important = 0, other = 0] = runLoad(createAdmission(clock), clock, {
    load,
    steps: 200,
  });
  assert.is(important, 1);
  assert.ok(other > 0.4, `${other} of the other kind served, half would fit`);
});

test("admits everything again within seconds of the recovery", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const steps = 50;
  runLoad(admission, clock, {
    load: { requests: [10, 10], shedRatio: 0.6 },
    steps,
  });
  const normal: Load = { requests: [10, 10], shedRatio: 0 };
  runLoad(admission, clock, { load: normal, steps });
  const shares = runLoad(admission, clock, { load: normal, steps: 20 });
  assert.ok(shares.every((share) => share > 0.98), shares.join());
});

/** After a restart of the whole fleet, each daemon has few callers to detect the recovery by. */
test("admits everything within three seconds of the recovery with few callers", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const [, request] = KINDS;
  const latencySteps = 6;
  const pending: { readonly dueStep: number; readonly isServed: boolean }[] =
    [];
  const admitted: boolean[] = [];
  for (let step = 0; step < 200 && request; step += 1) {
    for (const { isServed } of takeDue(pending, step)) {
      admission.recordOutcome(request, { member: "", isServed });
    }
    const isOk = admission.check({ request, member: "", requestId: "" }).isOk();
    admitted.push(isOk);
    if (isOk) {
      const isServed = step >= 80;
      pending.push({ dueStep: step + latencySteps, isServed });
    }
    clock.advance(40);
  }
  const afterThreeSeconds = admitted.slice(155);
  assert.ok(admitted.slice(50, 80).filter(Boolean).length < 8);
  assert.is(
    afterThreeSeconds.filter(Boolean).length,
    afterThreeSeconds.length,
  );
});

function takeDue<T extends { readonly dueStep: number }>(
  pending: T[],
  step: number,
): T[] {
  const count = pending.filter(({ dueStep }) => dueStep <= step).length;
  return pending.splice(0, count);
}

/** Traffic starts or answers become slow, but all requests are still answered. */
test("does not mistake slow answers for failures", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const [, request] = KINDS;
  const pending: { readonly dueStep: number }[] = [];
  let refused = 0;
  for (let step = 0; step < 200 && request; step += 1) {
    takeDue(pending, step).forEach(() =>
      admission.recordOutcome(request, { member: "", isServed: true })
    );
    const grant = admission.check({ request, member: "", requestId: "" });
    refused += Number(grant.isErr());
    pending.push({ dueStep: step + 50 });
    clock.advance(40);
  }
  assert.is(refused, 0);
});

/** A daemon has just started and does not know the instances yet. */
test("does not throttle on requests that reached no instance", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const [, request] = KINDS;
  let refused = 0;
  for (let each = 0; each < 100 && request; each += 1) {
    const grant = admission.check({ request, member: "", requestId: "" });
    refused += Number(grant.isErr());
    if (grant.isOk()) {
      admission.recordUnreached(request, "");
    }
    clock.advance(20);
  }
  assert.is(refused, 0);
});

test("suggests varied retry delays, longer when fewer requests are admitted", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const [, request] = KINDS;
  const waits = Array.from({ length: 200 }, () => {
    const grant = request &&
      admission.check({ request, member: "", requestId: "" });
    if (request && grant?.isOk()) {
      admission.recordOutcome(request, { member: "", isServed: false });
    }
    return grant?.isErr() ? grant.error.retryAfterMs : 0;
  }).filter((waitMs) => waitMs > 0);
  assert.ok(new Set(waits).size > waits.length / 2);
  assert.ok(Math.max(...waits) > 1_000);
});

test("without accounts and load signals, exactly the admit ratio of the kind decides", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const [, request] = KINDS;
  const throttle = new AdaptiveThrottle(clock);
  const random = new RandomSource(11);
  const outcomes = new RandomSource(2);
  let refused = 0;
  for (let each = 0; each < 2_000 && request; each += 1) {
    throttle.recordRequest();
    const ratio = throttle.computeAdmitRatio(1.25);
    const isExpected = ratio >= 1 || random.nextFloat() < ratio;
    const grant = admission.check({ request, member: "", requestId: "" });
    assert.is(grant.isOk(), isExpected);
    if (grant.isErr()) {
      refused += 1;
      random.nextFloat(); // Jitter of the retry delay.
    } else {
      const isServed = outcomes.nextFloat() < (each < 1_000 ? 0.3 : 1);
      throttle.recordStart();
      throttle.recordEnd(isServed);
      admission.recordOutcome(request, { member: "", isServed });
    }
    clock.advance(20);
  }
  assert.ok(refused > 100, `${refused} refused`);
});

// A small account would wait for the overload of a large one.
test("the retry delay follows the ratio of the account, and the journal names it", () => {
  const clock = new ManualClock();
  const journal = new DecisionJournal(clock);
  const admission = createAdmission(clock, journal);
  const [, request] = KINDS;
  const refusedMembers = new Set<string>();
  for (let each = 0; each < 4_000 && request; each += 1) {
    const member = each % 20 === 0 ? "small" : "large";
    const grant = admission.check({ request, member, requestId: "" });
    if (grant.isErr() && each > 400) {
      refusedMembers.add(member);
    } else if (grant.isOk()) {
      const isServed = member === "small" || each % 4 === 0;
      admission.recordOutcome(request, { member, isServed });
    }
    clock.advance(10);
  }
  assert.equal([...refusedMembers], ["large"]);
  const [entry] = journal.list({ kind: "entry-refusal" });
  assert.is(entry?.facts.account, "large");
  const { admitRatio = 1, kindRatio = 0 } = entry?.facts ?? {};
  assert.ok(admitRatio < kindRatio, `${admitRatio} of ${kindRatio}`);
});

// Accounts of a more important class would share with, and be refused beside, those of a less important one.
test("accounts with a class of their own are counted apart from others of the kind", () => {
  const clock = new ManualClock();
  const admission = createAdmission(clock);
  const important = createRequest("rounds", 0);
  const other = { ...important, className: "bulk", classRank: 2 };
  const refused = { important: 0, other: 0 };
  for (let each = 0; each < 2_000; each += 1) {
    const isImportant = each % 10 === 0;
    const member = isImportant ? "a" : "b";
    const request = isImportant ? important : other;
    const grant = admission.check({ request, member, requestId: "" });
    refused[isImportant ? "important" : "other"] += Number(grant.isErr());
    if (grant.isOk()) {
      admission.recordOutcome(request, { member, isServed: isImportant });
    }
    clock.advance(5);
  }
  assert.is(refused.important, 0);
  assert.ok(refused.other > 1_000, `${refused.other}`);
});

// Operators took the service that requests go to for the one that is overloaded.
test("the journal names the service that asks for a refusal, or that it follows from outcomes", () => {
  const clock = new ManualClock();
  const journal = new DecisionJournal(clock);
  const admission = new ThrottledEntryAdmission({
    ...{ clock, journal, metrics: new DaemonMetrics() },
    ...{ random: new RandomSource(4), readLowestRank: () => 2 },
  });
  const refuse = (path: string[]) => {
    const request = { ...createRequest("rounds", 2), service: "front", path };
    for (let each = 0; each < 200; each += 1) {
      const grant = admission.check({ request, member: "", requestId: "" });
      if (grant.isOk()) {
        const isServed = path.includes("deep");
        admission.recordOutcome(request, { member: "", isServed });
      }
    }
    return journal.list({ kind: "entry-refusal" }).at(-1)?.facts;
  };
  admission.observe([createSignal(1, [1_000, 1_000, 300])]);
  const signaled = refuse(["front", "deep"]);
  assert.is(signaled?.service, "deep");
  assert.is(signaled?.source, "load-signal");
  assert.is(signaled?.request, "rounds");
  const learned = refuse(["front"]);
  assert.is(learned?.service, "front");
  assert.is(learned?.source, "outcomes");
});

function createSignal(instance: number, admitPermille: number[]) {
  return {
    ...{ service: "deep", inFlight: 20, queued: 9, limit: 20, instance },
    ...{ sequence: 1, demandPerSecond: 100, admitPermille },
    admitLevel: Math.min(...admitPermille) / 1_000,
  };
}

// A single slow instance is avoided by routing; refusals for it would waste the capacity of the others.
test("the entry admits everything while only one of three instances is overloaded", () => {
  const clock = new ManualClock();
  const admission = new ThrottledEntryAdmission({
    ...{ clock, journal: new DecisionJournal(clock) },
    ...{ metrics: new DaemonMetrics(), readLowestRank: () => 2 },
    ...{ random: new RandomSource(4) },
  });
  const request = { ...createRequest("rounds", 2), path: ["deep"] };
  admission.observe([createSignal(1, [10])]);
  [2, 3].forEach((instance) =>
    admission.observe([createSignal(instance, [1_000])])
  );
  for (let each = 0; each < 100; each += 1) {
    const member = `account-${each % 4}`;
    assert.ok(admission.check({ request, member, requestId: "" }).isOk());
    admission.recordOutcome(request, { member, isServed: true });
  }
});

// Outcomes alone let an entry with few requests admit trees that fail after most of their calls.
for (const accounts of [4, 0]) {
  test(`the entry admits what the scarcest service of the path asks for (${accounts} accounts)`, () => {
    const clock = new ManualClock();
    const admission = new ThrottledEntryAdmission({
      ...{ clock, journal: new DecisionJournal(clock) },
      ...{ metrics: new DaemonMetrics(), readLowestRank: () => 2 },
      random: new RandomSource(4),
    });
    const request = { ...createRequest("rounds", 2), path: ["front", "deep"] };
    [1, 2, 3].forEach((instance) =>
      admission.observe([createSignal(instance, [1_000, 1_000, 300])])
    );
    const grants = Array.from({ length: 1_000 }, (_, each) => {
      const member = accounts === 0 ? "" : `account-${each % accounts}`;
      const grant = admission.check({ request, member, requestId: "" });
      if (grant.isOk()) {
        admission.recordOutcome(request, { member, isServed: true });
      }
      return grant;
    });
    const admitted = grants.filter((grant) => grant.isOk()).length;
    assert.ok(Math.abs(admitted - 300) < 60, `${admitted}`);
    assert.is(admission.listOverloadSignals(["deep"]).length, 2);
    const mark = grants.find((grant) => grant.isOk())?.unwrapOr(undefined)
      ?.mark;
    assert.is(mark?.service, "deep");
    clock.advance(2_000);
    assert.ok(admission.check({ request, member: "", requestId: "" }).isOk());
    assert.is(admission.listOverloadSignals(["deep"]).length, 0);
  });
}

test.run();
