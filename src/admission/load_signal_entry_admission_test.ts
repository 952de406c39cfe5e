import * as assert from "uvu/assert";
import { suite } from "uvu";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { LoadSignal } from "../generated/types.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { LoadSignalEntryAdmission } from "./load_signal_entry_admission.ts";

const test = suite("refusal at the entry");

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

test("everything is admitted while no service asks for less", () => {
  const { entry } = createEntry();
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("the share that the deepest service asks for is admitted, and the call says so", () => {
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

test("an important class is admitted whole beside a refused one", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const important = createRequest({ classRank: 0 });
  assert.is(listAdmitted(entry, important).length, MEMBERS);
});

test("requests that do not reach the overloaded service are not refused", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const elsewhere = createRequest({ path: ["round-planning"] });
  assert.is(listAdmitted(entry, elsewhere).length, MEMBERS);
});

test("every entry admits the same Members", () => {
  const one = createEntry();
  const other = createEntry(one.clock);
  one.entry.observe([createSignal(one.clock)]);
  other.entry.observe([createSignal(one.clock)]);
  assert.equal(listAdmitted(one.entry), listAdmitted(other.entry));
});

test("other Members have their turn later", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  const first = new Set(listAdmitted(entry));
  clock.advance(2_000);
  entry.observe([createSignal(clock)]);
  const second = listAdmitted(entry);
  const again = second.filter((member) => first.has(member));
  assert.ok(isNear(again.length / MEMBERS, 0.25 * 0.25));
});

test("a refusal tells when the Member has another turn, and why it was refused", () => {
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

test("instances count by their demand", () => {
  const { clock, entry } = createEntry();
  entry.observe([
    createSignal(clock, { demandPerSecond: 300 }),
    createSignal(clock, { instance: 2, admitPermille: [1_000, 1_000] }),
  ]);
  assert.ok(isNear(listAdmitted(entry).length / MEMBERS, 0.4375));
});

test("an instance that gave no news for long does not outweigh one that did", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock, { instance: 2 })]);
  clock.advance(900);
  entry.observe([createSignal(clock, { admitPermille: [1_000, 1_000] })]);
  assert.ok(listAdmitted(entry).length / MEMBERS > 0.95);
});

test("a share without news rises again and is forgotten", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  clock.advance(750);
  const share = listAdmitted(entry).length / MEMBERS;
  assert.ok(share > 0.6 && share < 0.8, `share ${share}`);
  clock.advance(600);
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("a signal that peers relay again is not news", () => {
  const { clock, entry } = createEntry();
  const signal = createSignal(clock);
  entry.observe([signal]);
  clock.advance(750);
  entry.observe([signal]);
  assert.ok(listAdmitted(entry).length > MEMBERS * 0.5);
});

test("the end of an overload is passed on too", () => {
  const { clock, entry } = createEntry();
  entry.observe([createSignal(clock)]);
  clock.advance(100);
  const { admitPermille: _, ...signal } = createSignal(clock);
  const over = { ...signal, admitLevel: 1 };
  entry.observe([over]);
  assert.equal(entry.listOverloadSignals(["stock"]), [over]);
  assert.is(listAdmitted(entry).length, MEMBERS);
});

test("signals of overloaded services are passed on, others are not", () => {
  const { clock, entry } = createEntry();
  const calm = createSignal(clock, { service: "ledger", admitLevel: 1 });
  const signal = createSignal(clock);
  entry.observe([signal, calm]);
  assert.equal(entry.listOverloadSignals(["stock", "ledger"]), [signal]);
  clock.advance(3_000);
  assert.equal(entry.listOverloadSignals(["stock", "ledger"]), []);
});

test.run();
