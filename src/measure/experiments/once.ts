/**
 * Non-repeatable requests under faults: how often one runs twice, is refused
 * falsely, gets a wrong answer or ends unknown, and what the guarantee costs.
 */

import { once } from "node:events";
import { claimNetwork } from "../../testing/claim_network.ts";
import { checkHistory } from "../../testing/fault_injection/check_history.ts";
import type { Violation } from "../../testing/fault_injection/check_history.ts";
import { TestCaller } from "../../testing/test_caller.ts";
import { createMorningFleet } from "../create_morning_fleet.ts";
import type { Experiment, ExperimentResult } from "../experiment.ts";
import { Fleet } from "../fleet.ts";
import type { FleetPlan, RunningVm } from "../fleet.ts";
import { collectHistory } from "../once/collect_history.ts";
import { compareLatency } from "../once/compare_latency.ts";
import type { LatencyComparison } from "../once/compare_latency.ts";
import { measureKeyBytes } from "../once/measure_key_bytes.ts";
import { runPhase } from "../once/run_phase.ts";
import type { OncePhase, PhaseOutcome, PhaseRun } from "../once/run_phase.ts";
import { TimedHistory } from "../once/timed_history.ts";

const MS_PER_SECOND = 1_000;
const IDLE_MS = 5_000;
const OUTAGE_MS = 60_000;
const FREEZE_MS = 8_000;
/** Time for a new daemon to become known, in milliseconds. */
const RESTART_SETTLE_MS = 2_000;
/** A request that takes longer counts as not served, in milliseconds. */
const SERVED_WITHIN_MS = 1_000;

/** The experiment. */
export const experiment: Experiment = {
  description: "non-repeatable requests under faults: doubles, outcomes, cost",
  run,
};

async function run(): Promise<ExperimentResult> {
  const keyBytes = await measureKeyBytes();
  const fleet = new Fleet(createPlan(await claimNetwork()));
  const caller = new TestCaller();
  try {
    await fleet.start();
    const phaseRun = { fleet, caller, history: new TimedHistory() };
    return summarize({ ...await runPhases(phaseRun), keyBytes });
  } finally {
    await caller.close();
    await fleet.stop();
  }
}

async function runPhases(
  phaseRun: PhaseRun & { readonly history: TimedHistory },
): Promise<Omit<Findings, "keyBytes">> {
  const { fleet, caller, history } = phaseRun;
  const idleWrites = await countWrites(fleet, () => sleep(IDLE_MS));
  const [first = "", second = ""] = fleet.entryUrls;
  const latency = await compareLatency(caller, [first, second]);
  const results = new Map<string, PhaseOutcome[]>();
  let loadedWrites = 0;
  for (const createPhase of PHASES) {
    const phase = await createPhase(fleet);
    const writes = await countWrites(fleet, async () => {
      results.set(phase.name, await runPhase(phaseRun, phase));
    });
    loadedWrites = phase.name === "calm" ? writes : loadedWrites;
    await sleep(MS_PER_SECOND);
  }
  const violations = check(phaseRun, history);
  return { results, violations, latency, idleWrites, loadedWrites };
}

const PHASES: readonly ((fleet: Fleet) => OncePhase | Promise<OncePhase>)[] = [
  () => ({
    name: "calm",
    durationMs: 8_000,
    requestsPerSecond: 150,
    faultAtMs: 0,
  }),
  (fleet) => ({
    name: "storeOutage",
    durationMs: OUTAGE_MS,
    requestsPerSecond: 100,
    faultAtMs: 0,
    bringFault: async () => {
      fleet.store.faults.isDown = true;
      await sleep(OUTAGE_MS);
      fleet.store.faults.isDown = false;
    },
  }),
  (fleet) => {
    const failing = findLedger(fleet, 0);
    return {
      ...createFaultPhase("holderCrash", failing),
      bringFault: () => void failing.daemon.kill("SIGKILL"),
    };
  },
  async (fleet) => {
    await restart(fleet, 0);
    const failing = findLedger(fleet, 1);
    return {
      ...createFaultPhase("plannedStop", failing),
      bringFault: async () => {
        failing.daemon.kill("SIGTERM");
        await once(failing.daemon, "exit");
      },
    };
  },
  async (fleet) => {
    await restart(fleet, 1);
    const failing = findLedger(fleet, 2);
    return {
      ...createFaultPhase("daemonFrozen", failing),
      durationMs: FREEZE_MS + 4_000,
      usesFailingKeys: false,
      bringFault: async () => {
        failing.daemon.kill("SIGSTOP");
        await sleep(FREEZE_MS);
        failing.daemon.kill("SIGCONT");
      },
    };
  },
  (fleet) => {
    const failing = findLedger(fleet, 3);
    return {
      ...createFaultPhase("backendServerCrash", failing),
      usesFailingKeys: false,
      bringFault: () => failing.backendServer.stop(),
    };
  },
];

function createFaultPhase(name: string, failing: RunningVm): OncePhase {
  return {
    ...{ name, failing },
    durationMs: 8_000,
    requestsPerSecond: 150,
    faultAtMs: 2_000,
    usesFailingKeys: true,
  };
}

function createPlan(network: number): FleetPlan {
  const plan = createMorningFleet({ protection: "on", network, slots: 16 });
  const { configuration, chains } = plan;
  const delivery = configuration.requests.find(({ name }) =>
    name === "record-delivery"
  );
  if (!delivery) {
    throw new Error("the configuration lacks the delivery");
  }
  const twin = {
    ...delivery,
    name: "note-delivery",
    pathPrefix: "/notes",
    isRepeatable: true,
  };
  return {
    ...plan,
    configuration: {
      ...configuration,
      requests: [...configuration.requests, twin],
    },
    chains: { ...chains, notes: chains.deliveries ?? [] },
  };
}

async function restart(fleet: Fleet, index: number): Promise<void> {
  await fleet.waitUntilReady(fleet.relaunch(findLedger(fleet, index)));
  await sleep(RESTART_SETTLE_MS);
}

function findLedger(fleet: Fleet, index: number): RunningVm {
  const vm =
    fleet.vms.filter(({ plan }) => plan.service === "delivery-ledger")[index];
  if (!vm) {
    throw new Error("the fleet lacks a ledger");
  }
  return vm;
}

/** Store writes per second while something is done. */
async function countWrites(
  { store }: Fleet,
  act: () => Promise<void>,
): Promise<number> {
  const writes = store.counts.writes;
  const startedAtMs = performance.now();
  await act();
  const durationMs = performance.now() - startedAtMs;
  const perSecond = (store.counts.writes - writes) * MS_PER_SECOND / durationMs;
  return Number(perSecond.toFixed(2));
}

function check({ fleet }: PhaseRun, history: TimedHistory): Violation[] {
  const isCounted = ({ requestId }: { requestId: string }) =>
    /^[a-zA-Z]+-\d+$/.test(requestId) && !isLatencyRequest(requestId);
  const events = collectHistory(history.timed, fleet.vms).filter(isCounted);
  return checkHistory(events, {});
}

function isLatencyRequest(requestId: string): boolean {
  return /^(repeatable|held|forwarded)-/.test(requestId);
}

interface Findings {
  readonly results: ReadonlyMap<string, readonly PhaseOutcome[]>;
  readonly violations: readonly Violation[];
  readonly latency: LatencyComparison;
  readonly idleWrites: number;
  readonly loadedWrites: number;
  readonly keyBytes: number;
}

function summarize(findings: Findings): ExperimentResult {
  const { results, violations, latency } = findings;
  const rows = [...results].map(([phase, outcomes]) => ({
    phase,
    requests: outcomes.length,
    answeredRatio: share(outcomes, ({ outcome }) => outcome === "answered"),
    refusedRatio: share(
      outcomes,
      ({ outcome }) => outcome === "refused-not-run",
    ),
    unknownRatio: share(outcomes, isUnknown),
    retriedRatio: share(outcomes, ({ attempts }) => attempts > 1),
    slowestMs: Math.round(
      Math.max(...outcomes.map(({ durationMs }) => durationMs)),
    ),
  }));
  const countRule = (rule: Violation["rule"]) =>
    violations.filter((violation) => violation.rule === rule).length;
  const of = (name: string) => results.get(name) ?? [];
  return {
    rows,
    fields: {
      runs: rows.reduce((sum, { requests }) => sum + requests, 0),
      doubles: countRule("ran-twice"),
      falseRefusals: countRule("false-refusal"),
      wrongAnswers: countRule("wrong-answer"),
      unknownRatio: Object.fromEntries(
        rows.map(({ phase, unknownRatio }) => [phase, unknownRatio]),
      ),
      storeWritesPerSecond: findings.loadedWrites,
      idleStoreWritesPerSecond: findings.idleWrites,
      ...latency,
      keyBytes: findings.keyBytes,
      servedDuringStoreOutageRatio: share(of("storeOutage"), isServed),
      targetServedDuringStoreOutageRatio: 0.99,
      unavailableMs: measureUnavailableMs(of("holderCrash")),
      targetUnavailableMs: 5_000,
      plannedStopUnavailableMs: measureUnavailableMs(of("plannedStop")),
      targetPlannedStopUnavailableMs: 0,
    },
  };
}

function isUnknown({ outcome }: PhaseOutcome): boolean {
  return outcome === "unknown" || outcome === "lost";
}

function isServed({ outcome, durationMs }: PhaseOutcome): boolean {
  return outcome === "answered" && durationMs <= SERVED_WITHIN_MS;
}

/** Time from the fault to the start of the last request that was not served. */
function measureUnavailableMs(outcomes: readonly PhaseOutcome[]): number {
  const faultAtMs = 2_000;
  const lateStartsMs = outcomes.filter((outcome) => !isServed(outcome))
    .map(({ atMs }) => atMs - faultAtMs);
  return Math.max(0, Math.round(Math.max(0, ...lateStartsMs)));
}

function share<T>(items: readonly T[], matches: (item: T) => boolean): number {
  const ratio = items.filter(matches).length / Math.max(1, items.length);
  return Number(ratio.toFixed(4));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
