/**
 * Compares the processor time of two builds of the platform's daemon in one run:
 * their fleets take turns under the same load. Prints the costs of each phase,
 * and one line of JSON with the ratios of the second build to the first.
 *
 * `npm run measure:cpu -- BASE_CHECKOUT [CHECKOUT] [ROUNDS]`; both checkouts
 * must have been built.
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { claimNetwork } from "../../testing/claim_network.ts";
import { MeasuredFleet } from "./measured_fleet.ts";

/** Time from the start of the processes after which a daemon no longer starts, in milliseconds. */
const START_MS = 3_000;
const IDLE_MS = 4_000;

/** Load that follows a start: the first 500 runs, then the warm-up, then the runs that are measured. */
const LOADS = [
  { phase: "cold", runs: 500, runsPerSecond: 240 },
  { phase: "warm-up", runs: 3_000, runsPerSecond: 600 },
  { phase: "warm", runs: 3_000, runsPerSecond: 600 },
] as const;

const DEFAULT_ROUNDS = 3;
const USAGE_ERROR_EXIT_CODE = 2;

/** Sums of a phase over the rounds; a start counts as one unit, idling counts in seconds, a load in runs. */
interface PhaseCosts {
  units: number;
  cpuMs: number;
  systemCalls: number;
  wakeUps: number;
  peakMb: number;
  failures: number;
}

type CostsByPhase = Map<string, PhaseCosts>;

async function main(): Promise<number> {
  const [base, checkout = process.cwd(), rounds] = process.argv.slice(2);
  if (base === undefined) {
    console.error(
      "usage: run_processor_time BASE_CHECKOUT [CHECKOUT] [ROUNDS]",
    );
    return USAGE_ERROR_EXIT_CODE;
  }
  const network = await claimNetwork();
  const costs: CostsByPhase[] = [new Map(), new Map()];
  for (let round = 0; round < Number(rounds ?? DEFAULT_ROUNDS); round += 1) {
    // The order alternates, so that a drift of the machine favors neither build.
    const order = round % 2 === 0 ? [0, 1] : [1, 0];
    for (const build of order) {
      const path = build === 0 ? base : checkout;
      await measure(new MeasuredFleet(path, network), costs[build]);
    }
  }
  print(costs);
  return 0;
}

async function measure(
  fleet: MeasuredFleet,
  costs: CostsByPhase = new Map(),
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "celeryhollow-"));
  await fleet.start(folder);
  await wait(START_MS);
  const atStart = await fleet.readCounts();
  add(costs, "start", { ...atStart, units: 1, failures: 0 });
  await measurePhase(fleet, costs, "idle", async () => {
    await wait(IDLE_MS);
    return { units: IDLE_MS / 1_000, failures: 0 };
  });
  for (const { phase, ...load } of LOADS) {
    await measurePhase(fleet, costs, phase, async () => {
      const { runs, failures } = await fleet.load(load);
      return { units: runs, failures };
    });
  }
  await fleet.stop();
  await rm(folder, { recursive: true });
}

async function measurePhase(
  fleet: MeasuredFleet,
  costs: CostsByPhase,
  phase: string,
  play: () => Promise<Pick<PhaseCosts, "units" | "failures">>,
): Promise<void> {
  const before = await fleet.readCounts();
  const played = await play();
  const after = await fleet.readCounts();
  add(costs, phase, {
    ...played,
    cpuMs: after.cpuMs - before.cpuMs,
    systemCalls: after.systemCalls - before.systemCalls,
    wakeUps: after.wakeUps - before.wakeUps,
    peakMb: after.peakMb,
  });
}

function add(costs: CostsByPhase, phase: string, added: PhaseCosts): void {
  const sums = costs.get(phase);
  if (!sums) {
    costs.set(phase, { ...added });
    return;
  }
  sums.units += added.units;
  sums.cpuMs += added.cpuMs;
  sums.systemCalls += added.systemCalls;
  sums.wakeUps += added.wakeUps;
  sums.failures += added.failures;
  sums.peakMb = Math.max(sums.peakMb, added.peakMb);
}

function print([base, changed]: CostsByPhase[]): void {
  const ratios: Record<string, number> = {};
  const rows = [...base ?? []].flatMap(([phase, before]) => {
    const after = changed?.get(phase) ?? before;
    const ratio = (after.cpuMs / after.units) / (before.cpuMs / before.units);
    ratios[phase] = round(ratio);
    return [
      { build: "base", phase, ...describe(before), ratio: 1 },
      { build: "changed", phase, ...describe(after), ratio: round(ratio) },
    ];
  });
  console.table(rows);
  console.log(JSON.stringify({ ratios }));
}

function describe({ units, ...costs }: PhaseCosts): Record<string, number> {
  return {
    units,
    cpuMs: round(costs.cpuMs / units),
    systemCalls: round(costs.systemCalls / units),
    wakeUps: round(costs.wakeUps / units),
    peakMb: round(costs.peakMb),
    failures: costs.failures,
  };
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

process.exit(await main());
