/**
 * Measures retry amplification: the attempts per request at the deepest service
 * while it fails none, half, and all of its calls.
 */

import type { RunningVm } from "../fleet.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import type { Experiment, ExperimentResult, TableRow } from "../experiment.ts";
import { Fleet } from "../fleet.ts";
import { countRequests, driveLoad } from "../load/mod.ts";

const DEEPEST_SERVICE = "price-sheets";
const RETRY_ALLOWANCE = 3;
const SLOTS = 64;
const SERVICE_TIME_MS = 2;
const REQUEST_TIMEOUT_MS = 2_000;
const SEED = 7;

/** The baseline has a lower rate because retries multiply its load at each of four hops. */
const RUNS = [
  { protection: "on", network: 53, requestsPerSecond: 60, durationMs: 10_000 },
  { protection: "off", network: 54, requestsPerSecond: 10, durationMs: 5_000 },
] as const;

const PHASES = [
  { name: "none", failureRatio: 0 },
  { name: "half", failureRatio: 0.5 },
  { name: "all", failureRatio: 1 },
] as const;

/** The experiment. */
export const experiment: Experiment = {
  description:
    "retry amplification at a deepest service that fails half, then all of its calls",
  run,
};

interface PhaseResult extends TableRow {
  readonly protection: string;
  readonly failing: string;
  readonly requests: number;
  readonly answeredRatio: number;
  readonly amplification: number;
  readonly worstAttemptsPerRequest: number;
}

async function run(): Promise<ExperimentResult> {
  const rows: PhaseResult[] = [];
  for (const each of RUNS) {
    rows.push(...await runPhases(each));
  }
  const findRow = (protection: string, failing: string) => {
    const row = rows.find((each) =>
      each.protection === protection && each.failing === failing
    );
    if (!row) {
      throw new Error("a result row is missing");
    }
    return row;
  };
  const protectedRows = rows.filter(({ protection }) => protection === "on");
  return {
    rows,
    fields: {
      amplification: findRow("on", "all").amplification,
      amplificationHalf: findRow("on", "half").amplification,
      answeredRatioHalf: findRow("on", "half").answeredRatio,
      worstAttemptsPerRequest: Math.max(
        ...protectedRows.map((each) => each.worstAttemptsPerRequest),
      ),
      allowance: RETRY_ALLOWANCE,
      baselineAmplification: findRow("off", "all").amplification,
      baselineAmplificationHalf: findRow("off", "half").amplification,
      baselineAnsweredRatioHalf: findRow("off", "half").answeredRatio,
      baselineWorstAttemptsPerRequest: findRow("off", "all")
        .worstAttemptsPerRequest,
      targetAmplification: 1.2,
    },
  };
}

async function runPhases(
  { protection, network, requestsPerSecond, durationMs }: typeof RUNS[number],
): Promise<PhaseResult[]> {
  const fleet = new Fleet(createTestFleetPlan({
    protection,
    network,
    slots: SLOTS,
    behavior: { serviceTimeMs: SERVICE_TIME_MS },
  }));
  const results: PhaseResult[] = [];
  try {
    await fleet.start();
    const deepest = fleet.vms.filter(({ plan }) =>
      plan.service === DEEPEST_SERVICE
    );
    for (const { name, failureRatio } of PHASES) {
      deepest.forEach(({ backendServer }) =>
        backendServer.behavior.failureRatio = failureRatio
      );
      const load = { name, requestsPerSecond, durationMs };
      const { requests, answered } = await driveLoadPhase(fleet, load);
      const attempts = countAttempts(deepest, name);
      const totalAttempts = attempts.reduce((total, count) => total + count, 0);
      results.push({
        protection,
        failing: name,
        requests,
        answeredRatio: round(answered / requests),
        amplification: round(totalAttempts / requests),
        worstAttemptsPerRequest: Math.max(0, ...attempts),
      });
    }
  } finally {
    await fleet.stop();
  }
  return results;
}

async function driveLoadPhase(
  fleet: Fleet,
  phase: { name: string; requestsPerSecond: number; durationMs: number },
): Promise<{ requests: number; answered: number }> {
  const report = await driveLoad({
    phases: [phase],
    kinds: [{
      name: "fetch-round",
      className: "rounds",
      weight: 1,
      service: "round-planning",
      method: "GET",
      pathPrefix: "/rounds",
      isRepeatable: true,
    }],
    behavior: {
      deadlineMs: REQUEST_TIMEOUT_MS,
      attemptTimeoutMs: REQUEST_TIMEOUT_MS,
      maxAttempts: 1,
      backoffMs: 0,
      honorsRetryAfter: true,
    },
    entryUrls: fleet.entryUrls,
    memberCount: 50,
    randomSeed: SEED,
    requestIdPrefix: phase.name,
    bucketMs: 1_000,
  });
  const { offered, answered } = countRequests(report, {
    fromMs: 0,
    untilMs: Infinity,
  });
  return { requests: offered, answered };
}

/** Counts the runs at the instances for each request of a phase. */
function countAttempts(
  instances: readonly RunningVm[],
  phaseName: string,
): number[] {
  const counts = new Map<string, number>();
  for (const { backendServer } of instances) {
    for (const { requestId } of backendServer.runs) {
      if (requestId.startsWith(`${phaseName}-`)) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
      }
    }
  }
  return [...counts.values()];
}

function round(ratio: number): number {
  return Number(ratio.toFixed(3));
}
