/**
 * Runs the phases of the `routing` experiment: one fleet with one impairment after
 * the other, and calls from one region.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { TableRow } from "../experiment.ts";
import { Fleet } from "../fleet.ts";
import type { RunningVm } from "../fleet.ts";
import { countRequests, driveLoad } from "../load/mod.ts";
import type { LoadReport } from "../load/mod.ts";
import { LinkMesh } from "./link_mesh.ts";
import {
  createStockFleetPlan,
  DOMAINS,
  ENTRY_SERVICE,
} from "./create_stock_fleet_plan.ts";

/** Metrics of one phase. */
export interface RoutingPhaseResult extends TableRow {
  readonly routing: string;
  readonly phase: string;
  /** Share of runs at the instance before it was impaired. */
  readonly impairedRatioBefore: number;
  readonly goodputRatio: number;
  readonly p99Ms: number;
  readonly crossRegionBytesPerSecond: number;
  /** Share of runs at the impaired instance or in the other region. */
  readonly misroutedRatio: number;
}

/** Routing mode and network of a run. */
export interface RoutingRunOptions {
  readonly routing: "adaptive" | "random";
  /** Second byte of the loopback addresses. */
  readonly network: number;
}

interface PhaseContext {
  readonly fleet: Fleet;
  readonly mesh: LinkMesh;
  /** Instance that the phases impair. */
  readonly impairedInstance: RunningVm;
}

interface Phase {
  readonly name: string;
  /** Whether load without an impairment precedes the phase. */
  readonly settlesFirst: boolean;
  /** Whether runs at the impaired instance count as misrouted. */
  readonly avoidsImpairedInstance: boolean;
  begin(context: PhaseContext): void;
  end(context: PhaseContext): void;
}

const HOME_REGION = DOMAINS[0].region;
const ONE_WAY_DELAY_MS = 30;
const SERVICE_TIME_MS = 5;
const IMPAIRED_SERVICE_TIME_MS = 100;
const COLD_START_MS = 10_000;
const PHASE_MS = 5_000;

/** Duration of the load before a phase, after which the instance receives calls again. */
const SETTLE_MS = 5_000;
const REQUESTS_PER_SECOND = 300;
const REQUEST_TIMEOUT_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const SEED = 11;

const slowDown = ({ impairedInstance }: PhaseContext) =>
  impairedInstance.backendServer.behavior.serviceTimeMs =
    IMPAIRED_SERVICE_TIME_MS;
const restoreSpeed = ({ impairedInstance }: PhaseContext) =>
  impairedInstance.backendServer.behavior.serviceTimeMs = SERVICE_TIME_MS;

const PHASES: readonly Phase[] = [
  {
    name: "cold",
    settlesFirst: false,
    avoidsImpairedInstance: true,
    begin: slowDown,
    end: restoreSpeed,
  },
  {
    name: "none",
    settlesFirst: false,
    avoidsImpairedInstance: false,
    begin: () => undefined,
    end: () => undefined,
  },
  {
    name: "slow",
    settlesFirst: true,
    avoidsImpairedInstance: true,
    begin: slowDown,
    end: restoreSpeed,
  },
  {
    // Slow, and reports no calls in flight.
    name: "lying-idle",
    settlesFirst: true,
    avoidsImpairedInstance: true,
    begin: (context) => {
      slowDown(context);
      context.impairedInstance.backendServer.behavior.reportedInFlight = 0;
    },
    end: (context) => {
      restoreSpeed(context);
      context.impairedInstance.backendServer.behavior.reportedInFlight =
        undefined;
    },
  },
  {
    name: "silent-connections",
    settlesFirst: true,
    avoidsImpairedInstance: false,
    begin: ({ mesh, impairedInstance }) =>
      mesh.silenceConnections(impairedInstance.plan.address),
    end: () => undefined,
  },
  {
    name: "lost-domain",
    settlesFirst: true,
    avoidsImpairedInstance: true,
    begin: ({ fleet, mesh, impairedInstance }) =>
      fleet.vms.filter(({ plan }) =>
        plan.failureDomain === impairedInstance.plan.failureDomain &&
        plan.service !== ENTRY_SERVICE
      ).forEach(({ plan, daemon }) => {
        mesh.disconnect(plan.address);
        daemon.kill("SIGKILL");
      }),
    end: () => undefined,
  },
];

/**
 * Runs all phases with one routing mode.
 *
 * @param options - Routing mode and network
 * @returns Metrics of each phase
 *
 * @example
 * const rows = await runRoutingPhases({ routing: "random", network: 56 });
 */
export async function runRoutingPhases(
  { routing, network }: RoutingRunOptions,
): Promise<RoutingPhaseResult[]> {
  const impairedAddress = `127.${network}.0.1`;
  const plan = createStockFleetPlan({
    network,
    serviceTimeMs: SERVICE_TIME_MS,
    coldStartMsByAddress: { [impairedAddress]: COLD_START_MS },
  });
  const mesh = new LinkMesh(plan.vms, HOME_REGION, {
    oneWayDelayMs: ONE_WAY_DELAY_MS,
  });
  const fleet = new Fleet({ ...plan, routing, vms: await mesh.open() });
  const results: RoutingPhaseResult[] = [];
  try {
    await fleet.start();
    const impairedInstance = fleet.vms.find(({ plan: { address } }) =>
      address === impairedAddress
    );
    if (!impairedInstance) {
      throw new Error(`the fleet has no VM with address ${impairedAddress}`);
    }
    const context = { fleet, mesh, impairedInstance };
    for (const phase of PHASES) {
      const metrics = await runPhase(context, phase);
      results.push({ routing, phase: phase.name, ...metrics });
    }
  } finally {
    await fleet.stop();
    mesh.close();
  }
  return results;
}

async function runPhase(context: PhaseContext, phase: Phase) {
  const { fleet, mesh, impairedInstance } = context;
  const settlePhase = { ...phase, name: `before-${phase.name}` };
  if (phase.settlesFirst) {
    await driveLoadPhase(context, settlePhase, SETTLE_MS);
  }
  const bytesBefore = mesh.crossRegionBytes;
  phase.begin(context);
  const report = await driveLoadPhase(context, phase, PHASE_MS);
  phase.end(context);
  const crossedBytes = mesh.crossRegionBytes - bytesBefore;
  const { offered, answered } = countRequests(report, {
    fromMs: 0,
    untilMs: Infinity,
  });
  const countRuns = (vms: readonly RunningVm[], { name } = phase) =>
    vms.flatMap(({ backendServer }) => backendServer.runs)
      .filter(({ requestId }) => requestId.startsWith(`${name}-`)).length;
  const otherRegionVms = fleet.vms.filter(({ plan }) =>
    plan.region !== HOME_REGION
  );
  const misroutedVms = phase.avoidsImpairedInstance
    ? [...otherRegionVms, impairedInstance]
    : otherRegionVms;
  return {
    impairedRatioBefore: round(
      countRuns([impairedInstance], settlePhase) /
        Math.max(1, countRuns(fleet.vms, settlePhase)),
    ),
    goodputRatio: round(answered / offered),
    p99Ms: round(computeP99Ms(report)),
    crossRegionBytesPerSecond: Math.round(crossedBytes / PHASE_MS * 1_000),
    misroutedRatio: round(
      countRuns(misroutedVms) / Math.max(1, countRuns(fleet.vms)),
    ),
  };
}

/** Sends calls that enter at a VM of another service in the impaired instance's failure domain. */
function driveLoadPhase(
  { fleet }: PhaseContext,
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

/** Returns the 99th percentile of the latency; unanswered requests count with the duration of the deadline. */
function computeP99Ms(report: LoadReport): number {
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
