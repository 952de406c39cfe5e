/**
 * One fleet with one impaired part after the other, and calls from one region.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { TableRow } from "../experiment.ts";
import { Fleet } from "../fleet.ts";
import type { RunningVm } from "../fleet.ts";
import { countRequests, driveLoad } from "../load/mod.ts";
import type { LoadReport } from "../load/mod.ts";
import { LinkMesh } from "./link_mesh.ts";
import { DOMAINS, ENTRY_SERVICE, planStockFleet } from "./plan_stock_fleet.ts";

/** What one phase showed. */
export interface RoutingPhaseResult extends TableRow {
  readonly routing: string;
  readonly phase: string;
  /** Share of runs at the instance before it was impaired. */
  readonly victimRatioBefore: number;
  readonly goodputRatio: number;
  readonly p99Ms: number;
  readonly crossRegionBytesPerSecond: number;
  /** Share of runs at the impaired instance or in the other region. */
  readonly misroutedRatio: number;
}

/** Which routing runs on which network. */
export interface RoutingRunOptions {
  readonly routing: "adaptive" | "random";
  readonly network: number;
}

interface Scene {
  readonly fleet: Fleet;
  readonly mesh: LinkMesh;
  /** The instance that is impaired. */
  readonly victim: RunningVm;
}

interface Phase {
  readonly name: string;
  /** Whether calm load goes before. */
  readonly settles: boolean;
  /** Whether runs at the victim count as misrouted. */
  readonly avoidsVictim: boolean;
  begin(scene: Scene): void;
  end(scene: Scene): void;
}

const HOME = DOMAINS[0].region;
const ONE_WAY_DELAY_MS = 30;
const SERVICE_TIME_MS = 5;
const IMPAIRED_TIME_MS = 100;
const COLD_START_MS = 10_000;
const PHASE_MS = 5_000;

/** Load without an impairment before a phase, so that the instance is in use again. */
const SETTLE_MS = 5_000;
const REQUESTS_PER_SECOND = 300;
const REQUEST_TIMEOUT_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const SEED = 11;

const slowDown = ({ victim }: Scene) =>
  victim.backendServer.behavior.serviceTimeMs = IMPAIRED_TIME_MS;
const speedUp = ({ victim }: Scene) =>
  victim.backendServer.behavior.serviceTimeMs = SERVICE_TIME_MS;

const PHASES: readonly Phase[] = [
  {
    name: "cold",
    settles: false,
    avoidsVictim: true,
    begin: slowDown,
    end: speedUp,
  },
  {
    name: "none",
    settles: false,
    avoidsVictim: false,
    begin: () => undefined,
    end: () => undefined,
  },
  {
    name: "slow",
    settles: true,
    avoidsVictim: true,
    begin: slowDown,
    end: speedUp,
  },
  {
    name: "lying-idle",
    settles: true,
    avoidsVictim: true,
    begin: (scene) => {
      slowDown(scene);
      scene.victim.backendServer.behavior.reportedInFlight = 0;
    },
    end: (scene) => {
      speedUp(scene);
      scene.victim.backendServer.behavior.reportedInFlight = undefined;
    },
  },
  {
    name: "silent-connections",
    settles: true,
    avoidsVictim: false,
    begin: ({ mesh, victim }) => mesh.silence(victim.plan.address),
    end: () => undefined,
  },
  {
    name: "lost-domain",
    settles: true,
    avoidsVictim: true,
    begin: ({ fleet, mesh, victim }) =>
      fleet.vms.filter(({ plan }) =>
        plan.failureDomain === victim.plan.failureDomain &&
        plan.service !== ENTRY_SERVICE
      ).forEach(({ plan, daemon }) => {
        mesh.cut(plan.address);
        daemon.kill("SIGKILL");
      }),
    end: () => undefined,
  },
];

/**
 * Runs all phases under one kind of routing.
 *
 * @param options - Routing and network
 * @returns What each phase showed
 *
 * @example
 * const rows = await runRoutingPhases({ routing: "random", network: 56 });
 */
export async function runRoutingPhases(
  { routing, network }: RoutingRunOptions,
): Promise<RoutingPhaseResult[]> {
  const victimAddress = `127.${network}.0.1`;
  const plan = planStockFleet({
    network,
    serviceTimeMs: SERVICE_TIME_MS,
    coldStartMsByAddress: { [victimAddress]: COLD_START_MS },
  });
  const mesh = new LinkMesh(plan.vms, HOME, {
    oneWayDelayMs: ONE_WAY_DELAY_MS,
  });
  const fleet = new Fleet({ ...plan, routing, vms: await mesh.open() });
  const results: RoutingPhaseResult[] = [];
  try {
    await fleet.start();
    const victim = fleet.vms.find(({ plan: { address } }) =>
      address === victimAddress
    );
    if (!victim) {
      throw new Error("the fleet lacks the instance to impair");
    }
    const scene = { fleet, mesh, victim };
    for (const phase of PHASES) {
      const measured = await runPhase(scene, phase);
      results.push({ routing, phase: phase.name, ...measured });
    }
  } finally {
    await fleet.stop();
    mesh.close();
  }
  return results;
}

async function runPhase(scene: Scene, phase: Phase) {
  const { fleet, mesh, victim } = scene;
  const settling = { ...phase, name: `before-${phase.name}` };
  if (phase.settles) {
    await drive(scene, settling, SETTLE_MS);
  }
  const crossedBefore = mesh.crossedBytes;
  phase.begin(scene);
  const report = await drive(scene, phase, PHASE_MS);
  phase.end(scene);
  const crossedBytes = mesh.crossedBytes - crossedBefore;
  const { offered, answered } = countRequests(report, {
    fromMs: 0,
    untilMs: Infinity,
  });
  const countRuns = (vms: readonly RunningVm[], { name } = phase) =>
    vms.flatMap(({ backendServer }) => backendServer.runs)
      .filter(({ requestId }) => requestId.startsWith(`${name}-`)).length;
  const far = fleet.vms.filter(({ plan }) => plan.region !== HOME);
  const avoided = phase.avoidsVictim ? [...far, victim] : far;
  return {
    victimRatioBefore: round(
      countRuns([victim], settling) /
        Math.max(1, countRuns(fleet.vms, settling)),
    ),
    goodputRatio: round(answered / offered),
    p99Ms: round(readP99Ms(report)),
    crossRegionBytesPerSecond: Math.round(crossedBytes / PHASE_MS * 1_000),
    misroutedRatio: round(
      countRuns(avoided) / Math.max(1, countRuns(fleet.vms)),
    ),
  };
}

/** Calls enter at a VM of another service in the victim's failure domain. */
function drive(
  { fleet }: Scene,
  { name }: Phase,
  durationMs: number,
): Promise<LoadReport> {
  const entries = fleet.vms.filter(({ plan }) =>
    plan.service === ENTRY_SERVICE
  );
  return driveLoad({
    phases: [{
      name,
      durationMs,
      requestsPerSecond: REQUESTS_PER_SECOND,
    }],
    kinds: [{
      name: "read-levels",
      className: "rounds",
      weight: 1,
      service: "stock",
      method: "GET",
      pathPrefix: "/levels",
      isRepeatable: true,
    }],
    behavior: {
      deadlineMs: REQUEST_TIMEOUT_MS,
      attemptTimeoutMs: REQUEST_TIMEOUT_MS,
      maxAttempts: 1,
      backoffMs: 0,
      honorsRetryAfter: true,
    },
    entryUrls: entries.map(({ entryUrl }) => entryUrl),
    memberCount: 50,
    randomSeed: SEED,
    requestIdPrefix: name,
    bucketMs: 1_000,
  });
}

/** 99th percentile of all answered requests, unanswered ones counted as lasting until the deadline. */
function readP99Ms(report: LoadReport): number {
  const all = buildHistogram({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  Object.values(report.latencyByClass).forEach((each) => all.add(each));
  const { offered, answered } = countRequests(report, {
    fromMs: 0,
    untilMs: Infinity,
  });
  if (offered > answered) {
    all.recordValueWithCount(
      REQUEST_TIMEOUT_MS * MICROSECONDS_PER_MS,
      offered - answered,
    );
  }
  return all.getValueAtPercentile(99) / MICROSECONDS_PER_MS;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
