import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { LoadSignalEntryAdmission } from "./load_signal_entry_admission.ts";

const test = suite("entry admission by load signals");

const MEMBERS = 2_000;

function createEntry(clock = new ManualClock()) {
  const journal = new DecisionJournal(clock);
  const metrics = new DaemonMetrics();
  const entry = new LoadSignalEntryAdmission({ clock, journal, metrics });
  return { clock, entry, journal };
}

function createRequest(changes: Partial<CompiledRequest> = {}) {
  return {
    name: "fetch-round",
    service: "round-planning",
    method: "GET",
    pathPrefix: "/rounds",
    className: "rounds",
    isRepeatable: true,
    isBulk: false,
    deadlineMs: 2_000,
    retryAllowance: 3,
    reaches: [],
    classRank: 1,
    path: ["round-planning", "stock"],
    ...changes,
  } satisfies CompiledRequest;
}

function createSignal(
  clock: ManualClock,
  changes: Partial<LoadSignal> = {},
): LoadSignal {
  return {
    service: "stock",
    inFlight: 2,
    queued: 9,
    limit: 2,
    admitLevel: 0.25,
    instance: 1,
    sequence: clock.nowMs(),
    demandPerSecond: 100,
    admitPermille: [1_000, 250],
    ...changes,
  };
}

function listAdmitted(
  entry: LoadSignalEntryAdmission,
  request = createRequest(),
): string[] {
  return Array.from({ length: MEMBERS }, (_, index) => `member-${index}`)
    .filter((member) =>
      entry.check({ request, member, requestId: "request-1" }).isOk()
    );
}

function isNear(value: number, expected: number): boolean {
  return Math.abs(value - expected) < 0.05;
}

test("admits everything while no service is overloaded", () => {
  const { entry } = createEntry();
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("admits at the ratio of the overloaded service and marks the call with it", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const admitted = listAdmitted(entry);
  assert.ok(isNear(admitted.length / MEMBERS, 0.25));
  const request = createRequest();
  const grant = entry.check({
    request,
    member: admitted[0] ?? "",
    requestId: "request-1",
  });
  assert.equal(grant._unsafeUnwrap().mark, {
    service: "stock",
    ratio: 0.25,
    otherRatio: 1,
  });
});

test("admits an important class completely while another is refused", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const important = createRequest({ classRank: 0 });
  assert.is(listAdmitted(entry, important).length, MEMBERS);
});

test("admits requests that do not reach the overloaded service", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const elsewhere = createRequest({ path: ["round-planning"] });
  assert.is(listAdmitted(entry, elsewhere).length, MEMBERS);
});

test("admits the same Members at every entry", () => {
  const one = createEntry();
  const other = createEntry(one.clock);
  one.entry.observe([createSignal(one.clock)]);
  other.entry.observe([createSignal(one.clock)]);
  assert.equal(listAdmitted(one.entry), listAdmitted(other.entry));
});

test("admits other Members after a rotation", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const first = new Set(listAdmitted(entry));
  clock.advance(2_000);
  entry.observe([createSignal(clock)]);
  const second = listAdmitted(entry);
  const again = second.filter((member) => first.has(member));
  assert.ok(isNear(again.length / MEMBERS, 0.25 * 0.25));
});

test("refuses with a retry delay and records the reason", () => {
  const { clock, entry, journal } = createEntry();
  entry.observe([createSignal(clock, { admitPermille: [1_000, 1] })]);
  const refusal = entry.check({
    request: createRequest(),
    member: "member-2",
    requestId: "request-7",
  })._unsafeUnwrapErr();
  assert.is(refusal.reason, "overloaded-entry");
  assert.is(refusal.retryAfterMs, 10_000);
  const [decision] = journal.list({ requestId: "request-7" });
  assert.is(decision?.facts["service"], "stock");
  assert.is(decision?.facts["admitRatio"], 0.001);
});

test("weights instances by their demand", () => {
  const { clock, entry } = createEntry();
  entry.observe([
    createSignal(clock, { demandPerSecond: 300 }),
    createSignal(clock, { instance: 2, admitPermille: [1_000, 1_000] }),
  ]);
  assert.ok(isNear(listAdmitted(entry).length / MEMBERS, 0.4375));
});

test("gives an outdated signal less weight than a recent one", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock, { instance: 2 })]);
  clock.advance(900);
  entry.observe([createSignal(clock, { admitPermille: [1_000, 1_000] })]);
  assert.ok(listAdmitted(entry).length / MEMBERS > 0.95);
});

test("raises the ratio without updates and drops the signal", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  clock.advance(750);
  const share = listAdmitted(entry).length / MEMBERS;
  assert.ok(share > 0.6 && share < 0.8, `share ${share}`);
  clock.advance(600);
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("ignores a signal that is relayed again", () => {
  const { clock, entry } = createEntry();
  const signal = createSignal(clock);
  entry.observe([signal]);
  clock.advance(750);
  entry.observe([signal]);
  assert.ok(listAdmitted(entry).length > MEMBERS * 0.5);
});

test("relays the end of an overload", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  clock.advance(100);
  const { admitPermille: _, ...signal } = createSignal(clock);
  const over = { ...signal, admitLevel: 1 };
  entry.observe([over]);
  assert.equal(entry.listOverloadSignals(["stock"]), [over]);
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("relays signals of overloaded services only", () => {
  const { clock, entry } = createEntry();
  const normal = createSignal(clock, { service: "ledger", admitLevel: 1 });
  const signal = createSignal(clock);
  entry.observe([signal, normal]);
  assert.equal(entry.listOverloadSignals(["stock", "ledger"]), [signal]);
  clock.advance(3_000);
  assert.equal(entry.listOverloadSignals(["stock", "ledger"]), []);
});

test.run();
