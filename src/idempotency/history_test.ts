import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { checkHistory } from "../testing/fault_injection/check_history.ts";
import type { Violation } from "../testing/fault_injection/check_history.ts";
import { FAULTS } from "../testing/fault_injection/fault_injection_fleet.ts";
import type { ReplaceableParts } from "../testing/fault_injection/fault_injection_node.ts";
import { misdeliverReplies } from "../testing/fault_injection/misdeliver_replies.ts";
import { RecordingBackend } from "../testing/fault_injection/recording_backend.ts";
import { runSchedule } from "../testing/fault_injection/run_schedule.ts";
import type { Schedule } from "../testing/fault_injection/run_schedule.ts";
import { KeyLedger } from "./key_ledger.ts";
import { RunLedger } from "./run_ledger.ts";
import type { RunAttempt } from "./run_ledger.ts";

const SEED = 20_261;
const RULES = { maxAttemptsPerInvocation: 5 };
const network = await claimNetwork();
let runs = 0;

const node = fc.integer({ min: 0, max: 4 });
const schedules: fc.Arbitrary<Schedule> = fc.record({
  requests: fc.array(
    fc.record({
      atMs: fc.integer({ min: 0, max: 600 }),
      holder: node,
      entries: fc.array(node, { minLength: 1, maxLength: 3 }),
      abandonMs: fc.constantFrom(0, 0, 10, 60),
    }),
    { minLength: 30, maxLength: 60 },
  ),
  faults: fc.array(
    fc.record({
      atMs: fc.integer({ min: 0, max: 600 }),
      kind: fc.constantFrom(...Object.values(FAULTS)),
      node,
      durationMs: fc.integer({ min: 20, max: 500 }),
    }),
    { minLength: 1, maxLength: 6 },
  ),
});

async function check(
  schedule: Schedule,
  parts: Partial<ReplaceableParts> = {},
): Promise<Violation[]> {
  runs = runs % 250 + 1;
  const events = await runSchedule(schedule, {
    network: `127.${network}.${runs}`,
    randomSeed: SEED,
    parts,
  });
  return checkHistory(events, RULES);
}

test("no fault schedule causes a duplicate run, a false refusal or a wrong answer", async () => {
  await fc.assert(
    fc.asyncProperty(schedules, async (schedule) => {
      assert.equal(await check(schedule), []);
    }),
    { seed: SEED, numRuns: 20 },
  );
});

/** Requests in quick succession, every other one abandoned early and resent through another entry. */
function createImpatientSchedule(faults: Schedule["faults"] = []): Schedule {
  const requests = Array.from({ length: 60 }, (_, index) => ({
    atMs: index * 10,
    holder: index % 3,
    entries: [(index + 1) % 3, (index + 2) % 3],
    abandonMs: index % 2 === 0 ? 5 : 0,
  }));
  return { requests, faults };
}

const CUTS: Schedule["faults"] = Array.from({ length: 12 }, (_, index) => ({
  atMs: 25 + index * 50,
  kind: FAULTS.cut,
  node: index % 3,
  durationMs: 15,
}));

const BROKEN_ANSWERS: Schedule["faults"] = [0, 1, 2].map((node) => ({
  atMs: 100,
  kind: FAULTS.breakResponses,
  node,
  durationMs: 300,
}));

function listRules(violations: readonly Violation[]): string[] {
  return [...new Set(violations.map(({ rule }) => rule))].sort();
}

/** Defect: treats every key as held by this daemon. */
class UncheckedKeyLedger extends KeyLedger {
  override holds(): boolean {
    return true;
  }
}

/** Defect: records a run only after it has ended. */
class LateRunLedger extends RunLedger {
  protected override recordAndStart(
    attempt: RunAttempt,
    start: () => Promise<CallResult>,
  ): Promise<CallResult> {
    const result = start();
    void result.then(() => this.record(attempt, result));
    return result;
  }
}

/** Defect: reports a missing answer as a run that did not start. */
class RefusingBackend extends RecordingBackend {
  override async call(
    ...call: Parameters<RecordingBackend["call"]>
  ): Promise<CallResult> {
    const result = await super.call(...call);
    return result.mapErr(() => createRefusal(REASONS.deadlineExpired));
  }
}

/** Checks a history to which `count` additional attempts of one request were added. */
async function checkWithExtraAttempts(count: number): Promise<Violation[]> {
  const events = await runSchedule(createImpatientSchedule(), {
    network: `127.${network}.251`,
    randomSeed: SEED,
    parts: {},
  });
  const invoked = events.find(({ kind }) => kind === "invoke");
  const requestId = invoked?.requestId ?? "";
  const extra = Array.from(
    { length: count },
    () => ({ kind: "attempt", requestId }) as const,
  );
  return checkHistory([...events, ...extra], RULES);
}

test("the check finds attempts above the allowance", async () => {
  const invocations = 3;
  const tooMany = RULES.maxAttemptsPerInvocation * invocations + 1;
  assert.equal(listRules(await checkWithExtraAttempts(tooMany)), ["allowance"]);
});

test("the schedules used for the seeded defects pass without a defect", async () => {
  assert.equal(await check(createImpatientSchedule()), []);
  assert.equal(await check(createImpatientSchedule(CUTS)), []);
  assert.equal(await check(createImpatientSchedule(BROKEN_ANSWERS)), []);
});

test("seeded defect: a request runs twice without the check of the key holder", async () => {
  const violations = await check(createImpatientSchedule(), {
    createKeys: (options) => new UncheckedKeyLedger(options),
  });
  assert.ok(listRules(violations).includes("ran-twice"));
});

test("seeded defect: a request runs twice if runs are recorded after they end", async () => {
  const violations = await check(createImpatientSchedule(CUTS), {
    createRuns: (clock) => new LateRunLedger(clock),
  });
  assert.ok(listRules(violations).includes("ran-twice"));
});

test("seeded defect: a timeout reported as not run is a false refusal", async () => {
  const violations = await check(createImpatientSchedule(BROKEN_ANSWERS), {
    createBackend: (options) => new RefusingBackend(options),
  });
  assert.ok(listRules(violations).includes("false-refusal"));
});

test("seeded defect: replies reach the wrong caller if matched without their connection", async () => {
  const hold = { isOn: false };
  const createRequests = (count: number, atMs: number) =>
    Array.from({ length: count }, (_, index) => ({
      ...{ atMs: atMs + index, holder: 3, entries: [3], abandonMs: 0 },
    }));
  setTimeout(() => hold.isOn = true, 500);
  const violations = await check({
    requests: [...createRequests(12, 100), ...createRequests(30, 600)],
    faults: [],
    deadlineMs: 2_000,
  }, {
    wrapDial: (dial, fromAddress) =>
      fromAddress.endsWith(".204") ? misdeliverReplies(dial, hold) : dial,
  });
  assert.ok(listRules(violations).includes("wrong-answer"));
});

test.run();
