/**
 * Demo load, modeled on the morning delivery round of the example user Rondevaart:
 * normal load (`calm`), a surge, a slow deep service, and recovery.
 */

import { claimNetwork } from "../../testing/claim_network.ts";
import { createExampleFleetPlan } from "../create_example_fleet_plan.ts";
import { Fleet } from "../fleet.ts";
import { driveLoad } from "../load/mod.ts";
import type { LoadPhase, LoadReport, RequestKind } from "../load/mod.ts";
import { CheckingCaller } from "./checking_caller.ts";
import type { GuaranteeFinding } from "./checking_caller.ts";

/** Result of a demo run. */
export interface DemoResult {
  readonly report: LoadReport;
  readonly findings: readonly GuaranteeFinding[];
}

/** Phases of the demo; the arrival rates are set for the capacity of this fleet. */
export const DEMO_PHASES: readonly LoadPhase[] = [
  { name: "calm", durationMs: 4_000, requestsPerSecond: 120 },
  { name: "surge", durationMs: 6_000, requestsPerSecond: 600 },
  { name: "slow deep service", durationMs: 4_000, requestsPerSecond: 120 },
  { name: "recovery", durationMs: 5_000, requestsPerSecond: 120 },
];

/** Deadline of the callers, in milliseconds. */
const CALLER_DEADLINE_MS = 2_000;

const SLOTS = 6;
const SERVICE_TIME_MS = 30;
const SLOWDOWN_FACTOR = 8;
const DEEPEST_SERVICE = "stock";

const REQUEST_KINDS: readonly RequestKind[] = [
  {
    name: "fetch-round",
    className: "rounds",
    weight: 0.9,
    service: "round-planning",
    method: "GET",
    pathPrefix: "/rounds",
    isRepeatable: true,
  },
  {
    name: "record-delivery",
    className: "deliveries",
    weight: 0.1,
    service: "delivery-ledger",
    method: "POST",
    pathPrefix: "/deliveries",
    isRepeatable: false,
  },
];

/**
 * Starts a fleet, runs the phases on it and checks the guarantees.
 *
 * @param protection - Whether overload protection is enabled
 * @param reportProgress - Called with a message at the start of each phase
 * @returns Load report and results of the guarantee checks
 *
 * @example
 * const { report } = await runDemoLoad("on", console.log);
 */
export async function runDemoLoad(
  protection: "on" | "off",
  reportProgress: (text: string) => void,
): Promise<DemoResult> {
  const network = await claimNetwork();
  const behavior = { serviceTimeMs: SERVICE_TIME_MS };
  const options = { protection, network, slots: SLOTS, behavior };
  const fleet = new Fleet(await createExampleFleetPlan("rondevaart", options));
  reportProgress(
    `protection ${protection}: starting ${fleet.plan.vms.length} VMs`,
  );
  await fleet.start();
  const caller = new CheckingCaller();
  const report = await driveLoad({
    caller,
    phases: DEMO_PHASES,
    kinds: REQUEST_KINDS,
    behavior: {
      deadlineMs: CALLER_DEADLINE_MS,
      attemptTimeoutMs: 1_000,
      maxAttempts: 4,
      backoffMs: 50,
      honorsRetryAfter: false,
    },
    entryUrls: fleet.entryUrls,
    memberCount: 200,
    randomSeed: 1,
    requestIdPrefix: `morning-${protection}`,
    bucketMs: 250,
    onPhase: (phase) => {
      reportProgress(`protection ${protection}: ${phase.name}`);
      setDeepestServiceSlow(fleet, phase.name === "slow deep service");
    },
  });
  const runs = fleet.vms.flatMap(({ backendServer }) => backendServer.runs);
  const findings = caller.check(runs);
  await fleet.stop();
  return { report, findings };
}

function setDeepestServiceSlow(fleet: Fleet, isSlow: boolean): void {
  for (const { plan, backendServer } of fleet.vms) {
    if (plan.service === DEEPEST_SERVICE) {
      const factor = isSlow ? SLOWDOWN_FACTOR : 1;
      backendServer.behavior.serviceTimeMs = SERVICE_TIME_MS * factor;
    }
  }
}
