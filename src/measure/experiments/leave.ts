/**
 * Measures rolling replacement under load: each backend server of one service, then
 * each daemon of another, is replaced in turn while callers keep sending requests.
 */

import { once } from "node:events";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import type { Experiment, ExperimentResult } from "../experiment.ts";
import { Fleet, waitFor } from "../fleet.ts";
import type { RunningVm } from "../fleet.ts";
import { driveLoad } from "../load/mod.ts";
import type { LoadPlan, LoadReport } from "../load/mod.ts";

const SLOTS = 16;
const SERVICE_TIME_MS = 20;
const REQUESTS_PER_SECOND = 150;
const DURATION_MS = 60_000;
const FIRST_LEAVE_DELAY_MS = 3_000;
const OBSERVATION_MS = 2_000;
const RETURN_DELAY_MS = 6_000;
const LEAVING_SERVICE = "stock";
const STOPPING_SERVICE = "delivery-ledger";

/** The experiment. */
export const experiment: Experiment = {
  description: "rolling replacement of backend servers and daemons under load",
  run,
};

/** Replacement of one backend server or daemon. */
interface Departure {
  readonly component: string;
  readonly address: string;
  /** Time from the start of leaving to the last run that started after it. */
  readonly newWorkAfterMs: number;
  /** Runs that started after leaving began. */
  readonly newRuns: number;
  /** Runs that did not finish. */
  readonly cutRequests: number;
  readonly exitCode: number;
}

async function run(): Promise<ExperimentResult> {
  const fleet = new Fleet(createTestFleetPlan({
    protection: "on",
    network: await claimNetwork(),
    slots: SLOTS,
    behavior: { serviceTimeMs: SERVICE_TIME_MS },
  }));
  await fleet.start();
  try {
    const load = driveLoad(createPlan(fleet));
    await sleep(FIRST_LEAVE_DELAY_MS);
    const departures = [
      ...await replaceSequentially(
        fleet,
        LEAVING_SERVICE,
        replaceBackendServer,
      ),
      ...await replaceSequentially(fleet, STOPPING_SERVICE, replaceDaemon),
    ];
    return summarize(departures, await load);
  } finally {
    await fleet.stop();
  }
}

function createPlan(fleet: Fleet): LoadPlan {
  const entries = fleet.vms.filter(({ plan }) =>
    plan.service !== STOPPING_SERVICE
  );
  return {
    phases: [{
      name: "steady",
      durationMs: DURATION_MS,
      requestsPerSecond: REQUESTS_PER_SECOND,
    }],
    kinds: [
      {
        name: "fetch-round",
        className: "rounds",
        weight: 2,
        service: "round-planning",
        method: "GET",
        pathPrefix: "/rounds",
        isRepeatable: true,
      },
      {
        name: "record-delivery",
        className: "deliveries",
        weight: 1,
        service: STOPPING_SERVICE,
        method: "POST",
        pathPrefix: "/deliveries",
        isRepeatable: false,
      },
    ],
    behavior: {
      deadlineMs: 2_000,
      attemptTimeoutMs: 2_000,
      maxAttempts: 1,
      backoffMs: 0,
      honorsRetryAfter: false,
    },
    entryUrls: entries.map(({ entryUrl }) => entryUrl),
    memberCount: 500,
    randomSeed: 4_711,
    requestIdPrefix: "leave",
    bucketMs: 1_000,
  };
}

type Replace = (fleet: Fleet, vm: RunningVm) => Promise<Departure>;

async function replaceSequentially(
  fleet: Fleet,
  service: string,
  replace: Replace,
): Promise<Departure[]> {
  const departures: Departure[] = [];
  for (const vm of fleet.vms.filter(({ plan }) => plan.service === service)) {
    departures.push(await replace(fleet, vm));
  }
  return departures;
}

async function replaceBackendServer(
  _fleet: Fleet,
  vm: RunningVm,
): Promise<Departure> {
  const { backendServer } = vm;
  const leftAtMs = Date.now();
  await backendServer.leave();
  await sleep(OBSERVATION_MS);
  const departure = describeDeparture(vm, {
    component: "backend server",
    leftAtMs,
  });
  await sleep(RETURN_DELAY_MS - OBSERVATION_MS);
  backendServer.behavior.isAnnouncing = true;
  await sleep(1_000);
  return departure;
}

async function replaceDaemon(
  fleet: Fleet,
  vm: RunningVm,
): Promise<Departure> {
  const leftAtMs = Date.now();
  const exited = once(vm.daemon, "exit");
  vm.daemon.kill("SIGTERM");
  const [exitCode] = await exited;
  const departure = describeDeparture(vm, { component: "daemon", leftAtMs });
  const next = fleet.relaunch(vm);
  await fleet.waitUntilReady(next);
  await waitFor(async () => {
    const { members } = await fleet.readStatus(next);
    return members.some(({ service, state }) =>
      service === STOPPING_SERVICE && state === "alive"
    );
  });
  await sleep(1_000);
  return { ...departure, exitCode: Number(exitCode) };
}

function describeDeparture(
  vm: RunningVm,
  { component, leftAtMs }: { component: string; leftAtMs: number },
): Departure {
  const { runs } = vm.backendServer;
  const laterRuns = runs.filter(({ atMs }) => atMs > leftAtMs);
  const lastAtMs = Math.max(leftAtMs, ...laterRuns.map(({ atMs }) => atMs));
  return {
    component,
    address: vm.plan.address,
    newWorkAfterMs: lastAtMs - leftAtMs,
    newRuns: laterRuns.length,
    cutRequests: runs.filter(({ isFinished }) => !isFinished).length,
    exitCode: 0,
  };
}

function summarize(
  departures: readonly Departure[],
  report: LoadReport,
): ExperimentResult {
  const totals: Record<string, number> = {};
  const reasons: Record<string, number> = {};
  let offered = 0;
  for (const { byClass } of report.buckets) {
    for (const counts of Object.values(byClass)) {
      offered += counts.offered;
      addCounts(totals, counts.outcomes);
      addCounts(reasons, counts.reasons);
    }
  }
  const answered = totals["answered"] ?? 0;
  return {
    rows: departures.map((departure) => ({ ...departure })),
    fields: {
      newWorkAfterMs: Math.max(
        ...departures.map(({ newWorkAfterMs }) => newWorkAfterMs),
      ),
      targetNewWorkAfterMs: 1_000,
      cutRequests: departures.reduce(
        (sum, { cutRequests }) => sum + cutRequests,
        0,
      ),
      failedRequests: offered - answered,
      offered,
      reasons,
      departures: departures.length,
      exitCodes: departures.map(({ exitCode }) => exitCode),
    },
  };
}

function addCounts(
  sums: Record<string, number>,
  counts: Readonly<Record<string, number>>,
): void {
  for (const [name, count] of Object.entries(counts)) {
    sums[name] = (sums[name] ?? 0) + count;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
