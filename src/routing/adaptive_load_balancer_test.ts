import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { LoadSignal, MemberRecord } from "../generated/types.ts";
import { REASONS } from "../outcome/mod.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { AdaptiveLoadBalancer } from "./adaptive_load_balancer.ts";
import type { AttemptReport, PickOptions } from "./load_balancer.ts";
import { LinkBudget } from "./link_budget.ts";

const SEED = 5;
const CALL_MS = 5;
const LINK_BYTES_PER_SECOND = 400_000;
const SMALL = { isBulk: false };
const TARGET = { targetLatencyMs: 300 };

const NEAR = createMemberRecord("near");
const SECOND_NEAR = createMemberRecord("second-near");
const OTHER_DOMAIN = createMemberRecord("other-domain", {
  failureDomain: "gent-b",
});
const FAR = createMemberRecord("far", {
  region: "wallonie",
  failureDomain: "namur-a",
});

const test = suite("AdaptiveLoadBalancer");

function createFixture(
  records: readonly MemberRecord[],
  defaults: Partial<PickOptions> = {},
) {
  const clock = new ManualClock();
  const linkBudget = new LinkBudget(clock);
  linkBudget.setRate(LINK_BYTES_PER_SECOND);
  const decisions: string[] = [];
  const loadBalancer = new AdaptiveLoadBalancer({
    clock,
    random: new RandomSource(SEED),
    locality: createMemberRecord("self"),
    linkBudget,
    reportOutlier: (kind, { incarnation }) =>
      decisions.push(`${kind} ${incarnation}`),
  });
  const pick = (changes: Partial<PickOptions> = {}) =>
    loadBalancer.pick(records, createOptions({ ...defaults, ...changes }));
  return { clock, loadBalancer, linkBudget, decisions, pick, records };
}

type Fixture = ReturnType<typeof createFixture>;

function createOptions(changes: Partial<PickOptions> = {}): PickOptions {
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

/** Makes sequential calls and counts them by instance. */
function run(
  fixture: Fixture,
  calls: number,
  answer: (record: MemberRecord) => Partial<AttemptReport> = () => ({}),
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let call = 0; call < calls; call += 1) {
    const picked = fixture.pick()._unsafeUnwrap();
    const report = createReport(answer(picked));
    fixture.loadBalancer.startAttempt(picked, SMALL);
    fixture.clock.advance(report.durationMs);
    fixture.loadBalancer.finishAttempt(picked, report);
    counts[picked.incarnation] = (counts[picked.incarnation] ?? 0) + 1;
  }
  return counts;
}

test("prefers its own failure domain while it is healthy", () => {
  const fixture = createFixture([FAR, OTHER_DOMAIN, NEAR]);
  assert.equal(run(fixture, 200), { near: 200 });
});

test("avoids a slow instance within its own region, not across regions", () => {
  const fixture = createFixture([FAR, OTHER_DOMAIN, NEAR]);
  const counts = run(fixture, 500, ({ incarnation }) => ({
    durationMs: incarnation === "near" ? 50 : CALL_MS,
  }));
  assert.ok(
    (counts["near"] ?? 0) < 50,
    `${counts["near"]} to the slow instance`,
  );
  assert.is(counts["far"], undefined);
});

test("stays with a slower nearby instance if the gain is negligible against the target", () => {
  const fixture = createFixture([FAR, OTHER_DOMAIN, NEAR], TARGET);
  const answer = ({ incarnation }: MemberRecord) => ({
    durationMs: incarnation === "near" ? 20 : CALL_MS,
  });
  const counts = run(fixture, 300, answer);
  assert.equal(counts, { near: 300 });
});

test("prefers the instance of this VM until it is saturated", () => {
  const own = createMemberRecord("self", { slots: 4 });
  const fixture = createFixture([NEAR, SECOND_NEAR, own], TARGET);
  assert.equal(run(fixture, 100), { self: 100 });
  const picked = Array.from({ length: 4 }, () => {
    fixture.loadBalancer.startAttempt(own, SMALL);
    return fixture.pick()._unsafeUnwrap().incarnation;
  });
  assert.is(picked[0], "self");
  assert.is.not(picked[3], "self");
});

test("avoids an instance that sheds load, whatever the target", () => {
  const fixture = createFixture([OTHER_DOMAIN, NEAR], TARGET);
  const shed = {
    outcome: "refused",
    reason: REASONS.backendRefused,
    durationMs: 1,
  } as const;
  let call = 0;
  const counts = run(fixture, 400, ({ incarnation }) => {
    call += 1;
    return incarnation === "near" && call % 2 === 0 ? shed : {};
  });
  assert.ok(
    (counts["near"] ?? 0) < 100,
    `${counts["near"]} to the shedding instance`,
  );
});

test("avoids an instance that refuses calls because of overload", () => {
  const fixture = createFixture([OTHER_DOMAIN, NEAR]);
  const counts = run(
    fixture,
    500,
    ({ incarnation }) =>
      incarnation === "near"
        ? {
          outcome: "refused",
          reason: REASONS.overloadedInstance,
          durationMs: 1,
        }
        : {},
  );
  assert.ok(
    (counts["near"] ?? 0) < 50,
    `${counts["near"]} to the overloaded instance`,
  );
});

test("judges an instance that reports to be idle by its latency", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  const counts = run(
    fixture,
    1_000,
    ({ incarnation }) =>
      incarnation === "near"
        ? { durationMs: 60, loads: [createLoad(0)] }
        : { loads: [createLoad(8)] },
  );
  assert.ok(
    (counts["near"] ?? 0) < 100,
    `${counts["near"]} to the instance with the false report`,
  );
});

test("judges an instance that reports to be idle by the calls in flight to it", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 20, () => ({ loads: [createLoad(0)] }));
  for (let call = 0; call < 12; call += 1) {
    fixture.loadBalancer.startAttempt(NEAR, SMALL);
  }
  assert.equal(run(fixture, 50), { "second-near": 50 });
});

test("uses all instances of nearly equal cost", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  const counts = run(fixture, 200, ({ incarnation }) => ({
    durationMs: incarnation === "near" ? CALL_MS : CALL_MS * 1.2,
  }));
  assert.ok((counts["second-near"] ?? 0) > 60, JSON.stringify(counts));
});

test("restores the share of a slow instance after it recovers", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 200);
  for (let call = 0; call < 50; call += 1) {
    fixture.loadBalancer.startAttempt(NEAR, SMALL);
    fixture.clock.advance(100);
    fixture.loadBalancer.finishAttempt(NEAR, createReport({ durationMs: 100 }));
  }
  assert.equal(run(fixture, 50), { "second-near": 50 });
  fixture.clock.advance(12_000);
  run(fixture, 100);
  const counts = run(fixture, 100);
  assert.ok((counts["near"] ?? 0) > 30, JSON.stringify(counts));
});

test("reduces the weight of a load report with its age", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  const observe = (record: MemberRecord, inFlight: number) => {
    fixture.loadBalancer.startAttempt(record, SMALL);
    fixture.loadBalancer.finishAttempt(
      record,
      createReport({ loads: [createLoad(inFlight)] }),
    );
  };
  observe(NEAR, 16);
  observe(SECOND_NEAR, 0);
  const picked = () => fixture.pick()._unsafeUnwrap().incarnation;
  assert.equal(
    new Set(Array.from({ length: 20 }, picked)),
    new Set([
      "second-near",
    ]),
  );
  fixture.clock.advance(60_000);
  assert.is(new Set(Array.from({ length: 20 }, picked)).size, 2);
});

test("ramps up the share of a cold instance", () => {
  const clock = new ManualClock();
  const cold = createMemberRecord("cold", { warmAtMs: clock.nowMs() + 10_000 });
  const fixture = createFixture([NEAR, cold]);
  const countColdPicks = () => {
    const picks = Array.from(
      { length: 200 },
      () => fixture.pick()._unsafeUnwrap(),
    );
    picks.forEach((instance) =>
      fixture.loadBalancer.startAttempt(instance, SMALL)
    );
    picks.forEach((instance) =>
      fixture.loadBalancer.finishAttempt(instance, createReport())
    );
    return picks.filter(({ incarnation }) => incarnation === "cold").length;
  };
  run(fixture, 100);
  assert.is(countColdPicks(), 0);
  fixture.clock.advance(20_000);
  assert.ok(countColdPicks() > 50);
});

test("ejects a failing instance, probes it with one repeatable call at a time, and readmits it", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR, OTHER_DOMAIN]);
  run(fixture, 100, ({ incarnation }) => ({
    isErrorAnswer: incarnation === "near",
  }));
  assert.equal(fixture.decisions, ["ejection near"]);
  fixture.clock.advance(2_000);
  const isRepeatable = false;
  const nonRepeatable = fixture.pick({ isRepeatable })._unsafeUnwrap();
  assert.is.not(nonRepeatable.incarnation, "near");
  const probe = fixture.pick()._unsafeUnwrap();
  assert.is(probe.incarnation, "near");
  assert.is.not(fixture.pick()._unsafeUnwrap().incarnation, "near");
  fixture.loadBalancer.startAttempt(probe, SMALL);
  fixture.loadBalancer.finishAttempt(probe, createReport());
  assert.equal(fixture.decisions, ["ejection near", "readmission near"]);
});

test("extends the ejection after a failed probe", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 100, ({ incarnation }) => ({
    isErrorAnswer: incarnation === "near",
  }));
  for (let probes = 0; probes < 2; probes += 1) {
    fixture.clock.advance(1_000 * 2 ** probes);
    const probe = fixture.pick()._unsafeUnwrap();
    assert.is(probe.incarnation, "near");
    fixture.loadBalancer.startAttempt(probe, SMALL);
    fixture.loadBalancer.finishAttempt(
      probe,
      createReport({ isErrorAnswer: true }),
    );
    fixture.clock.advance(1_000);
    assert.is.not(fixture.pick()._unsafeUnwrap().incarnation, "near");
  }
  assert.is(fixture.decisions.length, 3);
});

test("an instance that worked for longer than its last ejection is ejected for the initial time again", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  const failNear = () =>
    run(fixture, 100, ({ incarnation }) => ({
      isErrorAnswer: incarnation === "near",
    }));
  const probe = () => {
    const picked = fixture.pick()._unsafeUnwrap();
    fixture.loadBalancer.startAttempt(picked, SMALL);
    fixture.loadBalancer.finishAttempt(picked, createReport());
    return picked.incarnation;
  };
  for (let round = 0; round < 3; round += 1) {
    failNear();
    assert.is(fixture.decisions.at(-1), "ejection near");
    fixture.clock.advance(1_000);
    assert.is(probe(), "near");
    assert.is(fixture.decisions.at(-1), "readmission near");
    fixture.clock.advance(60_000);
  }
});

test("does not probe across regions while a nearby instance works", () => {
  const fixture = createFixture([NEAR, FAR]);
  fixture.pick();
  for (let call = 0; call < 10; call += 1) {
    fixture.loadBalancer.startAttempt(FAR, SMALL);
    fixture.loadBalancer.finishAttempt(
      FAR,
      createReport({ isErrorAnswer: true }),
    );
  }
  assert.equal(fixture.decisions, ["ejection far"]);
  fixture.clock.advance(60_000);
  assert.equal(run(fixture, 20), { near: 20 });
});

test("ejects no outliers from a service that fails everywhere", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR, OTHER_DOMAIN]);
  const decisions = () => fixture.decisions.length;
  for (let call = 0; call < 300; call += 1) {
    const record = fixture.records[call % 3] ?? NEAR;
    fixture.pick();
    fixture.loadBalancer.startAttempt(record, SMALL);
    fixture.loadBalancer.finishAttempt(
      record,
      createReport({ isErrorAnswer: true }),
    );
  }
  assert.ok(decisions() <= 1, `${decisions()} ejections`);
});

test("never ejects more than half of the instances", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR, OTHER_DOMAIN, FAR]);
  const broken = new Set(["near", "second-near", "other-domain"]);
  run(fixture, 300, ({ incarnation }) => ({
    isErrorAnswer: broken.has(incarnation),
    durationMs: 1,
  }));
  const ejected = new Set(
    fixture.decisions.filter((decision) => decision.startsWith("ejection")),
  );
  assert.ok(ejected.size >= 1 && ejected.size <= 2, [...ejected].join());
});

test("fails over from a lost failure domain within its own region", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR, OTHER_DOMAIN, FAR]);
  const counts = run(
    fixture,
    300,
    ({ failureDomain }) =>
      failureDomain === "gent-a"
        ? { outcome: "refused", reason: REASONS.connectFailed }
        : {},
  );
  assert.ok((counts["other-domain"] ?? 0) > 250, JSON.stringify(counts));
  assert.is(counts["far"], undefined);
});

test("keeps bulk in the region while an instance there is available, whatever the wait", () => {
  const fixture = createFixture([OTHER_DOMAIN, FAR]);
  run(fixture, 100, () => ({ durationMs: 900 }));
  const isBulk = true;
  const picked = fixture.pick({ isBulk })._unsafeUnwrap();
  assert.is(picked.incarnation, "other-domain");
  const excluded = new Set(["other-domain"]);
  const refusal = fixture.pick({ isBulk, excluded })._unsafeUnwrapErr();
  assert.is(refusal.reason, REASONS.linkBudget);
});

test("without an instance in the region, sends bulk across within the budget and important calls always", () => {
  const fixture = createFixture([FAR]);
  const isBulk = true;
  let downloads = 0;
  let result = fixture.pick({ isBulk });
  for (; result.isOk(); result = fixture.pick({ isBulk })) {
    fixture.loadBalancer.startAttempt(result.value, { isBulk });
    fixture.loadBalancer.finishAttempt(
      result.value,
      createReport({ isBulk, bodyBytes: 10_000 }),
    );
    downloads += 1;
  }
  assert.ok(downloads > 3 && downloads < 10, `${downloads} downloads`);
  assert.is(result.error.reason, REASONS.linkBudget);
  assert.ok(result.error.retryAfterMs > 0);
  while (fixture.linkBudget.tokens > 0) {
    fixture.linkBudget.reserve({ service: "stock", isBulk: false });
  }
  assert.ok(fixture.pick({ classRank: 1 }).isErr());
  assert.ok(fixture.pick({ classRank: 0 }).isOk());
  fixture.clock.advance(2_000);
  assert.ok(fixture.pick({ isBulk }).isOk());
});

test("fails with no-instance if there are no instances", () => {
  const fixture = createFixture([]);
  assert.is(fixture.pick()._unsafeUnwrapErr().reason, REASONS.noInstance);
});

for (
  const reason of [
    REASONS.answerTooLarge,
    REASONS.answerTruncated,
    REASONS.answerMismatched,
  ]
) {
  // Incident LIMIT: an instance that sent bytes without end was chosen again and again.
  test(`an instance whose answers cannot be used is ejected: ${reason}`, () => {
    const fixture = createFixture([NEAR, SECOND_NEAR]);
    run(
      fixture,
      60,
      ({ incarnation }) =>
        incarnation === "near" ? { outcome: "unknown", reason } : {},
    );
    assert.ok(fixture.decisions.includes("ejection near"));
  });
}

test("an instance with a limit is left out, a refusal for it is no failure, and all limited is a refusal", () => {
  const other = createMemberRecord("other", { address: "127.0.0.2" });
  const fixture = createFixture([NEAR, other]);
  fixture.loadBalancer.setDaemonCount(1_000);
  const limit = { requestsPerSecond: 1 };
  const counts = run(
    fixture,
    60,
    ({ incarnation }) =>
      incarnation === "near"
        ? { outcome: "refused", reason: REASONS.limitedInstance, limit }
        : {},
  );
  // One call learns the limit, and at most one more is this daemon's share.
  assert.ok([1, 2].includes(counts["near"] ?? 0));
  assert.equal(fixture.decisions, []);
  const excluded = new Set<string>();
  assert.ok(
    fixture.loadBalancer.hasUnlimitedInstance(fixture.records, excluded),
  );
  const report = createReport({ limit });
  fixture.loadBalancer.startAttempt(other, SMALL);
  fixture.loadBalancer.finishAttempt(other, report);
  assert.not.ok(
    fixture.loadBalancer.hasUnlimitedInstance(fixture.records, excluded),
  );
  let result = fixture.pick();
  for (let picks = 0; result.isOk() && picks < 20; picks += 1) {
    result = fixture.pick();
  }
  const failure = result._unsafeUnwrapErr();
  assert.is(failure.reason, REASONS.limitedService);
  assert.ok(failure.retryAfterMs > 0);
});

test("avoids a VM that states it is slow, until the figure is old", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 50);
  const slowness = { ratio: 3, ageMs: 0 };
  const finish = (record: MemberRecord) => {
    fixture.loadBalancer.startAttempt(record, SMALL);
    fixture.loadBalancer.finishAttempt(record, createReport({ slowness }));
  };
  finish(NEAR);
  const first = fixture.pick()._unsafeUnwrap();
  assert.is(first.incarnation, "second-near");
  fixture.clock.advance(700);
  const counts = run(fixture, 40);
  assert.ok((counts["near"] ?? 0) > 0, "the old figure still keeps calls away");
});

test("an instance that states to be fast does not draw all calls, since own calls in flight count", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 50);
  const state = (record: MemberRecord, ratio: number) => {
    fixture.loadBalancer.startAttempt(record, SMALL);
    const slowness = { ratio, ageMs: 0 };
    fixture.loadBalancer.finishAttempt(record, createReport({ slowness }));
  };
  state(NEAR, 1);
  state(SECOND_NEAR, 1.5);
  const counts: Record<string, number> = {};
  for (let call = 0; call < 20; call += 1) {
    const { incarnation } = fixture.pick()._unsafeUnwrap();
    const record = incarnation === "near" ? NEAR : SECOND_NEAR;
    fixture.loadBalancer.startAttempt(record, SMALL);
    counts[incarnation] = (counts[incarnation] ?? 0) + 1;
  }
  assert.ok((counts["second-near"] ?? 0) >= 6, JSON.stringify(counts));
});

test("tells what to expect elsewhere only where instances state their slowness", () => {
  const fixture = createFixture([NEAR, SECOND_NEAR]);
  run(fixture, 50);
  fixture.pick();
  assert.is(fixture.loadBalancer.elsewhereMs, undefined);
  run(fixture, 2, () => ({ slowness: { ratio: 1, ageMs: 0 } }));
  fixture.pick();
  const { elsewhereMs = 0 } = fixture.loadBalancer;
  assert.ok(elsewhereMs > 0 && elsewhereMs < 100, `${elsewhereMs}`);
});

test.run();
