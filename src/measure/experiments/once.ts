/**
 * Measures non-repeatable requests under faults: how often one runs twice, is
 * reported as not run although it ran, gets a wrong response or ends with an
 * unknown outcome, and what the at-most-once guarantee costs.
 */

import { once } from "node:events";
import { claimNetwork } from "../../testing/claim_network.ts";
import { checkHistory } from "../../testing/fault_injection/check_history.ts";
import type { Violation } from "../../testing/fault_injection/check_history.ts";
import { TestCaller } from "../../testing/test_caller.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
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
const IDLE_PERIOD_MS = 5_000;
const OUTAGE_MS = 60_000;
const FREEZE_MS = 8_000;
/** Time for the other daemons to discover a restarted daemon, in milliseconds. */
const RESTART_SETTLE_MS = 2_000;
/** Latency above which a request counts as not served, in milliseconds. */
const SERVED_WITHIN_MS = 1_000;

/** The experiment. */
export const experiment: Experiment = {
  description:
    "non-repeatable requests under faults: duplicate runs, outcomes, cost",
  run,
};

async function run(): Promise<ExperimentResult> {
  const keyBytes = await measureKeyBytes();
  const fleet = new Fleet(createFleetPlan(await claimNetwork()));
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
  const idleWritesPerSecond = await measureWritesPerSecond(
    fleet,
    () => sleep(IDLE_PERIOD_MS),
  );
  const [first = "", second = ""] = fleet.entryUrls;
  const latency = await compareLatency(caller, [first, second]);
  const results = new Map<string, PhaseOutcome[]>();
  let loadedWritesPerSecond = 0;
  for (const createPhase of PHASES) {
    const phase = await createPhase(fleet);
    const writes = await measureWritesPerSecond(fleet, async () => {
      results.set(phase.name, await runPhase(phaseRun, phase));
    });
    loadedWritesPerSecond = phase.name === "calm"
      ? writes
      : loadedWritesPerSecond;
    await sleep(MS_PER_SECOND);
  }
  const violations = findViolations(phaseRun, history);
  return {
    results,
    violations,
    latency,
    idleWritesPerSecond,
    loadedWritesPerSecond,
  };
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
    injectFault: async () => {
      fleet.store.faults.isDown = true;
      await sleep(OUTAGE_MS);
      fleet.store.faults.isDown = false;
    },
  }),
  (fleet) => {
    const failingVm = findLedgerVm(fleet, 0);
    return {
      ...createFaultPhase("holderCrash", failingVm),
      injectFault: () => void failingVm.daemon.kill("SIGKILL"),
    };
  },
  async (fleet) => {
    await restart(fleet, 0);
    const failingVm = findLedgerVm(fleet, 1);
    return {
      ...createFaultPhase("plannedStop", failingVm),
      injectFault: async () => {
        failingVm.daemon.kill("SIGTERM");
        await once(failingVm.daemon, "exit");
      },
    };
  },
  async (fleet) => {
    await restart(fleet, 1);
    const failingVm = findLedgerVm(fleet, 2);
    return {
      ...createFaultPhase("daemonFrozen", failingVm),
      durationMs: FREEZE_MS + 4_000,
      usesKeysOfFailingVm: false,
      injectFault: async () => {
        failingVm.daemon.kill("SIGSTOP");
        await sleep(FREEZE_MS);
        failingVm.daemon.kill("SIGCONT");
      },
    };
  },
  (fleet) => {
    const failingVm = findLedgerVm(fleet, 3);
    return {
      ...createFaultPhase("backendServerCrash", failingVm),
      usesKeysOfFailingVm: false,
      injectFault: () => failingVm.backendServer.stop(),
    };
  },
];

function createFaultPhase(name: string, failingVm: RunningVm): OncePhase {
  return {
    ...{ name, failingVm },
    durationMs: 8_000,
    requestsPerSecond: 150,
    faultAtMs: 2_000,
    usesKeysOfFailingVm: true,
  };
}

/** Adds a repeatable variant of the delivery request, for the latency comparison. */
function createFleetPlan(network: number): FleetPlan {
  const plan = createTestFleetPlan({ protection: "on", network, slots: 16 });
  const { configuration, chains } = plan;
  const delivery = configuration.requests.find(({ name }) =>
    name === "record-delivery"
  );
  if (!delivery) {
    throw new Error("the configuration has no request named record-delivery");
  }
  const repeatableVariant = {
    ...delivery,
    name: "note-delivery",
    pathPrefix: "/notes",
    isRepeatable: true,
  };
  return {
    ...plan,
    configuration: {
      ...configuration,
      requests: [...configuration.requests, repeatableVariant],
    },
    chains: { ...chains, notes: chains.deliveries ?? [] },
  };
}

async function restart(fleet: Fleet, index: number): Promise<void> {
  await fleet.waitUntilReady(fleet.relaunch(findLedgerVm(fleet, index)));
  await sleep(RESTART_SETTLE_MS);
}

function findLedgerVm(fleet: Fleet, index: number): RunningVm {
  const vm =
    fleet.vms.filter(({ plan }) => plan.service === "delivery-ledger")[index];
  if (!vm) {
    throw new Error("the fleet has too few delivery-ledger VMs");
  }
  return vm;
}

/** Measures the store writes per second during an action. */
async function measureWritesPerSecond(
  { store }: Fleet,
  action: () => Promise<void>,
): Promise<number> {
  const writes = store.counts.writes;
  const startedAtMs = performance.now();
  await action();
  const durationMs = performance.now() - startedAtMs;
  const perSecond = (store.counts.writes - writes) * MS_PER_SECOND / durationMs;
  return Number(perSecond.toFixed(2));
}

/** Checks the events of the phases; those of the latency comparison are left out. */
function findViolations(
  { fleet }: PhaseRun,
  history: TimedHistory,
): Violation[] {
  const isPhaseEvent = ({ requestId }: { requestId: string }) =>
    /^[a-zA-Z]+-\d+$/.test(requestId) && !isLatencyRequest(requestId);
  const events = collectHistory(history.timedEvents, fleet.vms).filter(
    isPhaseEvent,
  );
  return checkHistory(events, {});
}

function isLatencyRequest(requestId: string): boolean {
  return /^(repeatable|held|forwarded)-/.test(requestId);
}

interface Findings {
  readonly results: ReadonlyMap<string, readonly PhaseOutcome[]>;
  readonly violations: readonly Violation[];
  readonly latency: LatencyComparison;
  readonly idleWritesPerSecond: number;
  readonly loadedWritesPerSecond: number;
  readonly keyBytes: number;
}

function summarize(findings: Findings): ExperimentResult {
  const { results, violations, latency } = findings;
  const rows = [...results].map(([phase, outcomes]) => ({
    phase,
    requests: outcomes.length,
    answeredRatio: computeRatio(
      outcomes,
      ({ outcome }) => outcome === "answered",
    ),
    refusedRatio: computeRatio(
      outcomes,
      ({ outcome }) => outcome === "refused-not-run",
    ),
    unknownRatio: computeRatio(outcomes, isUnknown),
    retriedRatio: computeRatio(outcomes, ({ attempts }) => attempts > 1),
    slowestMs: Math.round(
      Math.max(...outcomes.map(({ durationMs }) => durationMs)),
    ),
  }));
  const countRule = (rule: Violation["rule"]) =>
    violations.filter((violation) => violation.rule === rule).length;
  const outcomesOf = (name: string) => results.get(name) ?? [];
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
      storeWritesPerSecond: findings.loadedWritesPerSecond,
      idleStoreWritesPerSecond: findings.idleWritesPerSecond,
      ...latency,
      keyBytes: findings.keyBytes,
      servedDuringStoreOutageRatio: computeRatio(
        outcomesOf("storeOutage"),
        isServed,
      ),
      targetServedDuringStoreOutageRatio: 0.99,
      unavailableMs: measureUnavailableMs(outcomesOf("holderCrash")),
      targetUnavailableMs: 5_000,
      plannedStopUnavailableMs: measureUnavailableMs(outcomesOf("plannedStop")),
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

/** Returns the time from the fault to the start of the last request that was not served. */
function measureUnavailableMs(outcomes: readonly PhaseOutcome[]): number {
  const faultAtMs = 2_000;
  const lateStartsMs = outcomes.filter((outcome) => !isServed(outcome))
    .map(({ atMs }) => atMs - faultAtMs);
  return Math.max(0, Math.round(Math.max(0, ...lateStartsMs)));
}

function computeRatio<T>(
  items: readonly T[],
  matches: (item: T) => boolean,
): number {
  const ratio = items.filter(matches).length / Math.max(1, items.length);
  return Number(ratio.toFixed(4));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
