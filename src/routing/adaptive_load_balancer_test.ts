import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { LoadSignal, MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { AdaptiveLoadBalancer } from "./adaptive_load_balancer.ts";
import type { AttemptReport, ChoiceOptions } from "./load_balancer.ts";
import { LinkBudget } from "./link_budget.ts";

const SEED = 5;
const CALL_MS = 5;
const LINK_BYTES_PER_SECOND = 400_000;
const SMALL = { isBulk: false };
const AIMED = { targetLatencyMs: 300 };

const NEAR = createMemberRecord("near");
const SECOND_NEAR = createMemberRecord("second-near");
const NEXT_DOOR = createMemberRecord("next-door", { failureDomain: "gent-b" });
const FAR = createMemberRecord("far", {
  region: "wallonie",
  failureDomain: "namur-a",
});

const test = suite("adaptive chooser");

function createBench(
  records: readonly MemberRecord[],
  usual: Partial<ChoiceOptions> = {},
) {
  const clock = new ManualClock();
  const linkBudget = new LinkBudget(clock);
  linkBudget.setRate(LINK_BYTES_PER_SECOND);
  const decisions: string[] = [];
  const chooser = new AdaptiveLoadBalancer({
    clock,
    random: new RandomSource(SEED),
    locality: createMemberRecord("self"),
    linkBudget,
    reportOutlier: (kind, { incarnation }) =>
      decisions.push(`${kind} ${incarnation}`),
  });
  const choose = (changes: Partial<ChoiceOptions> = {}) =>
    chooser.choose(records, createOptions({ ...usual, ...changes }));
  return { clock, chooser, linkBudget, decisions, choose, records };
}

type Bench = ReturnType<typeof createBench>;

function createOptions(changes: Partial<ChoiceOptions> = {}): ChoiceOptions {
  return {
    service: "stock",
    excluded: new Set(),
    isBulk: false,
    isRepeatable: true,
    classRank: 1,
    ...changes,
  };
}

function createReport(changes: Partial<AttemptReport> = {}): AttemptReport {
  return {
    ...SMALL,
    durationMs: CALL_MS,
    outcome: "answered",
    reason: "",
    isErrorAnswer: false,
    loads: [],
    bodyBytes: 100,
    ...changes,
  };
}

function createLoad(inFlight: number): LoadSignal {
  return { service: "stock", inFlight, queued: 0, limit: 16, admitLevel: 1 };
}

/** Makes calls one after the other and counts them by instance. */
function run(
  bench: Bench,
  calls: number,
  answer: (record: MemberRecord) => Partial<AttemptReport> = () => ({}),
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let call = 0; call < calls; call += 1) {
    const chosen = bench.choose()._unsafeUnwrap();
    const report = createReport(answer(chosen));
    bench.chooser.begin(chosen, SMALL);
    bench.clock.advance(report.durationMs);
    bench.chooser.end(chosen, report);
    counts[chosen.incarnation] = (counts[chosen.incarnation] ?? 0) + 1;
  }
  return counts;
}

test("calls stay in the own failure domain while it does well", () => {
  const bench = createBench([FAR, NEXT_DOOR, NEAR]);
  assert.equal(run(bench, 200), { near: 200 });
});

test("calls leave a slow instance for the own region and not for the other one", () => {
  const bench = createBench([FAR, NEXT_DOOR, NEAR]);
  const counts = run(bench, 500, ({ incarnation }) => ({
    durationMs: incarnation === "near" ? 50 : CALL_MS,
  }));
  assert.ok((counts["near"] ?? 0) < 50, `${counts["near"]} to the slow one`);
  assert.is(counts["far"], undefined);
});

test("calls stay with a slower instance nearby while their target allows", () => {
  const bench = createBench([FAR, NEXT_DOOR, NEAR], AIMED);
  const answer = ({ incarnation }: MemberRecord) => ({
    durationMs: incarnation === "near" ? 20 : CALL_MS,
  });
  const counts = run(bench, 300, answer);
  assert.equal(counts, { near: 300 });
});

test("calls for the service of this VM need no way until it is crowded", () => {
  const own = createMemberRecord("self", { slots: 4 });
  const bench = createBench([NEAR, SECOND_NEAR, own], AIMED);
  assert.equal(run(bench, 100), { self: 100 });
  const waiting = Array.from({ length: 4 }, () => {
    bench.chooser.begin(own, SMALL);
    return bench.choose()._unsafeUnwrap().incarnation;
  });
  assert.is(waiting[0], "self");
  assert.is.not(waiting[3], "self");
});

test("calls leave an instance that sheds them, whatever their target", () => {
  const bench = createBench([NEXT_DOOR, NEAR], AIMED);
  const shed = {
    outcome: "refused",
    reason: REASONS.backendRefused,
    durationMs: 1,
  } as const;
  let call = 0;
  const counts = run(bench, 400, ({ incarnation }) => {
    call += 1;
    return incarnation === "near" && call % 2 === 0 ? shed : {};
  });
  assert.ok((counts["near"] ?? 0) < 100, `${counts["near"]} to the shedding`);
});

test("calls leave an instance that refuses for overload", () => {
  const bench = createBench([NEXT_DOOR, NEAR]);
  const counts = run(bench, 500, ({ incarnation }) =>
    incarnation === "near"
      ? {
        outcome: "refused",
        reason: REASONS.overloadedInstance,
        durationMs: 1,
      }
      : {});
  assert.ok((counts["near"] ?? 0) < 50, `${counts["near"]} to the full one`);
});

test("an instance that claims to be idle is judged by its latency", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  const counts = run(
    bench,
    1_000,
    ({ incarnation }) =>
      incarnation === "near"
        ? { durationMs: 60, loads: [createLoad(0)] }
        : { loads: [createLoad(8)] },
  );
  assert.ok((counts["near"] ?? 0) < 100, `${counts["near"]} to the liar`);
});

test("an instance that claims to be idle is judged by the calls in flight to it", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  run(bench, 20, () => ({ loads: [createLoad(0)] }));
  for (let call = 0; call < 12; call += 1) {
    bench.chooser.begin(NEAR, SMALL);
  }
  assert.equal(run(bench, 50), { "second-near": 50 });
});

test("instances that cost nearly the same are all used", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  const counts = run(bench, 200, ({ incarnation }) => ({
    durationMs: incarnation === "near" ? CALL_MS : CALL_MS * 1.2,
  }));
  assert.ok((counts["second-near"] ?? 0) > 60, JSON.stringify(counts));
});

test("an instance that was slow gets its share back after it has recovered", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  run(bench, 200);
  for (let call = 0; call < 50; call += 1) {
    bench.chooser.begin(NEAR, SMALL);
    bench.clock.advance(100);
    bench.chooser.end(NEAR, createReport({ durationMs: 100 }));
  }
  assert.equal(run(bench, 50), { "second-near": 50 });
  bench.clock.advance(12_000);
  run(bench, 100);
  const counts = run(bench, 100);
  assert.ok((counts["near"] ?? 0) > 30, JSON.stringify(counts));
});

test("a load report counts for less the older it is", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  const observe = (record: MemberRecord, inFlight: number) => {
    bench.chooser.begin(record, SMALL);
    bench.chooser.end(record, createReport({ loads: [createLoad(inFlight)] }));
  };
  observe(NEAR, 16);
  observe(SECOND_NEAR, 0);
  const chosen = () => bench.choose()._unsafeUnwrap().incarnation;
  assert.equal(
    new Set(Array.from({ length: 20 }, chosen)),
    new Set([
      "second-near",
    ]),
  );
  bench.clock.advance(60_000);
  assert.is(new Set(Array.from({ length: 20 }, chosen)).size, 2);
});

test("a cold instance gets a small share that grows", () => {
  const clock = new ManualClock();
  const cold = createMemberRecord("cold", { warmAtMs: clock.nowMs() + 10_000 });
  const bench = createBench([NEAR, cold]);
  const shareOfCold = () => {
    const choices = Array.from(
      { length: 200 },
      () => bench.choose()._unsafeUnwrap(),
    );
    choices.forEach((each) => bench.chooser.begin(each, SMALL));
    choices.forEach((each) => bench.chooser.end(each, createReport()));
    return choices.filter(({ incarnation }) => incarnation === "cold").length;
  };
  run(bench, 100);
  assert.is(shareOfCold(), 0);
  bench.clock.advance(20_000);
  assert.ok(shareOfCold() > 50);
});

test("a failing instance is ejected, probed by one repeatable call at a time, and re-admitted", () => {
  const bench = createBench([NEAR, SECOND_NEAR, NEXT_DOOR]);
  run(bench, 100, ({ incarnation }) => ({
    isErrorAnswer: incarnation === "near",
  }));
  assert.equal(bench.decisions, ["ejection near"]);
  bench.clock.advance(2_000);
  const isRepeatable = false;
  const once = bench.choose({ isRepeatable })._unsafeUnwrap();
  assert.is.not(once.incarnation, "near");
  const probe = bench.choose()._unsafeUnwrap();
  assert.is(probe.incarnation, "near");
  assert.is.not(bench.choose()._unsafeUnwrap().incarnation, "near");
  bench.chooser.begin(probe, SMALL);
  bench.chooser.end(probe, createReport());
  assert.equal(bench.decisions, ["ejection near", "readmission near"]);
});

test("a probe that fails ejects for longer", () => {
  const bench = createBench([NEAR, SECOND_NEAR]);
  run(bench, 100, ({ incarnation }) => ({
    isErrorAnswer: incarnation === "near",
  }));
  for (let probes = 0; probes < 2; probes += 1) {
    bench.clock.advance(1_000 * 2 ** probes);
    const probe = bench.choose()._unsafeUnwrap();
    assert.is(probe.incarnation, "near");
    bench.chooser.begin(probe, SMALL);
    bench.chooser.end(probe, createReport({ isErrorAnswer: true }));
    bench.clock.advance(1_000);
    assert.is.not(bench.choose()._unsafeUnwrap().incarnation, "near");
  }
  assert.is(bench.decisions.length, 3);
});

test("no probe crosses the region while a near instance serves", () => {
  const bench = createBench([NEAR, FAR]);
  bench.choose();
  for (let call = 0; call < 10; call += 1) {
    bench.chooser.begin(FAR, SMALL);
    bench.chooser.end(FAR, createReport({ isErrorAnswer: true }));
  }
  assert.equal(bench.decisions, ["ejection far"]);
  bench.clock.advance(60_000);
  assert.equal(run(bench, 20), { near: 20 });
});

test("a service that fails everywhere has no outliers", () => {
  const bench = createBench([NEAR, SECOND_NEAR, NEXT_DOOR]);
  const decisions = () => bench.decisions.length;
  for (let call = 0; call < 300; call += 1) {
    const record = bench.records[call % 3] ?? NEAR;
    bench.choose();
    bench.chooser.begin(record, SMALL);
    bench.chooser.end(record, createReport({ isErrorAnswer: true }));
  }
  assert.ok(decisions() <= 1, `${decisions()} ejections`);
});

test("never more than half of the instances are ejected", () => {
  const bench = createBench([NEAR, SECOND_NEAR, NEXT_DOOR, FAR]);
  const broken = new Set(["near", "second-near", "next-door"]);
  run(bench, 300, ({ incarnation }) => ({
    isErrorAnswer: broken.has(incarnation),
    durationMs: 1,
  }));
  const ejected = new Set(
    bench.decisions.filter((each) => each.startsWith("ejection")),
  );
  assert.ok(ejected.size >= 1 && ejected.size <= 2, [...ejected].join());
});

test("a lost failure domain is left for the own region", () => {
  const bench = createBench([NEAR, SECOND_NEAR, NEXT_DOOR, FAR]);
  const counts = run(
    bench,
    300,
    ({ failureDomain }) =>
      failureDomain === "gent-a"
        ? { outcome: "refused", reason: REASONS.connectFailed }
        : {},
  );
  assert.ok((counts["next-door"] ?? 0) > 250, JSON.stringify(counts));
  assert.is(counts["far"], undefined);
});

test("bulk stays in the region while a local copy can serve, whatever the wait", () => {
  const bench = createBench([NEXT_DOOR, FAR]);
  run(bench, 100, () => ({ durationMs: 900 }));
  const isBulk = true;
  const chosen = bench.choose({ isBulk })._unsafeUnwrap();
  assert.is(chosen.incarnation, "next-door");
  const excluded = new Set(["next-door"]);
  const refusal = bench.choose({ isBulk, excluded })._unsafeUnwrapErr();
  assert.is(refusal.reason, REASONS.linkBudget);
});

test("without a local copy bulk crosses within the budget, important calls always", () => {
  const bench = createBench([FAR]);
  const isBulk = true;
  let crossed = 0;
  let choice = bench.choose({ isBulk });
  for (; choice.isOk(); choice = bench.choose({ isBulk })) {
    bench.chooser.begin(choice.value, { isBulk });
    bench.chooser.end(
      choice.value,
      createReport({ isBulk, bodyBytes: 10_000 }),
    );
    crossed += 1;
  }
  assert.ok(crossed > 3 && crossed < 10, `${crossed} downloads`);
  assert.is(choice.error.reason, REASONS.linkBudget);
  assert.ok(choice.error.retryAfterMs > 0);
  while (bench.linkBudget.tokens > 0) {
    bench.linkBudget.begin({ service: "stock", isBulk: false });
  }
  assert.ok(bench.choose({ classRank: 1 }).isErr());
  assert.ok(bench.choose({ classRank: 0 }).isOk());
  bench.clock.advance(2_000);
  assert.ok(bench.choose({ isBulk }).isOk());
});

test("without instances the refusal says so", () => {
  const bench = createBench([]);
  assert.is(bench.choose()._unsafeUnwrapErr().reason, REASONS.noInstance);
});

test.run();
