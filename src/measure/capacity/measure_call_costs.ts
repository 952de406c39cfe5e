/**
 * Measures the processor time that a call costs the daemon it enters at and the
 * daemon of the backend server that runs it.
 */

import { Agent } from "undici";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import { Fleet } from "../fleet.ts";
import type { RunningVm } from "../fleet.ts";
import { readProcessUsage } from "../read_process_usage.ts";

/** Processor time and resident memory of both daemons at one call rate. */
export interface CallCostSample {
  readonly callsPerSecond: number;
  readonly entryCpuMsPerSecond: number;
  readonly backendCpuMsPerSecond: number;
  readonly entryResidentMb: number;
  readonly backendResidentMb: number;
}

const RATES_PER_SECOND = [0, 50, 100, 200] as const;
const WINDOW_MS = 10_000;
const WARM_UP_MS = 2_000;

/** Load before the first sample, so that the JIT compiler has optimized the call path. */
const JIT_WARM_UP_MS = 10_000;
const MS_PER_SECOND = 1_000;

/**
 * Sends calls that enter at one daemon and run at another, at several rates, and
 * measures the processor time of both daemons.
 *
 * @returns One sample per rate
 *
 * @example
 * const samples = await measureCallCosts();
 */
export async function measureCallCosts(): Promise<CallCostSample[]> {
  const plan = createTestFleetPlan({
    protection: "on",
    network: await claimNetwork(),
    slots: 64,
    behavior: { serviceTimeMs: 5 },
  });
  const fleet = new Fleet({ ...plan, vms: plan.vms.slice(0, 4) });
  const agent = new Agent({ connections: 64 });
  try {
    await fleet.start();
    const findVm = (service: string) =>
      fleet.vms.find((vm) => vm.plan.service === service) as RunningVm;
    const pair = {
      entry: findVm("round-planning"),
      backend: findVm("price-sheets"),
    };
    const url = `${pair.entry.entryUrl}/call/price-sheets/sheets/1`;
    const highestRate = Math.max(...RATES_PER_SECOND);
    await sendCalls(agent, url, {
      callsPerSecond: highestRate,
      durationMs: JIT_WARM_UP_MS,
    });
    const samples: CallCostSample[] = [];
    for (const callsPerSecond of RATES_PER_SECOND) {
      await sendCalls(agent, url, { callsPerSecond, durationMs: WARM_UP_MS });
      samples.push(
        await measureRate(
          pair,
          callsPerSecond,
          () =>
            sendCalls(agent, url, { callsPerSecond, durationMs: WINDOW_MS }),
        ),
      );
    }
    return samples;
  } finally {
    await agent.destroy();
    await fleet.stop();
  }
}

async function measureRate(
  { entry, backend }: { entry: RunningVm; backend: RunningVm },
  callsPerSecond: number,
  run: () => Promise<void>,
): Promise<CallCostSample> {
  const readUsages = () =>
    Promise.all([
      readProcessUsage(entry.daemon.pid),
      readProcessUsage(backend.daemon.pid),
    ]);
  const [entryBefore, backendBefore] = await readUsages();
  await run();
  const [entryAfter, backendAfter] = await readUsages();
  const seconds = WINDOW_MS / MS_PER_SECOND;
  return {
    callsPerSecond,
    entryCpuMsPerSecond: (entryAfter.cpuMs - entryBefore.cpuMs) / seconds,
    backendCpuMsPerSecond: (backendAfter.cpuMs - backendBefore.cpuMs) /
      seconds,
    entryResidentMb: entryAfter.residentMb,
    backendResidentMb: backendAfter.residentMb,
  };
}

async function sendCalls(
  agent: Agent,
  url: string,
  { callsPerSecond, durationMs }: {
    callsPerSecond: number;
    durationMs: number;
  },
): Promise<void> {
  const { origin, pathname } = new URL(url);
  const startedAtMs = performance.now();
  const pending: Promise<unknown>[] = [];
  const count = callsPerSecond * durationMs / MS_PER_SECOND;
  for (let call = 0; call < count; call += 1) {
    pending.push(
      agent.request({ origin, path: pathname, method: "GET" })
        .then(({ body }) => body.dump()),
    );
    const dueAtMs = startedAtMs + (call + 1) * MS_PER_SECOND / callsPerSecond;
    await sleep(Math.max(0, dueAtMs - performance.now()));
  }
  await Promise.all(pending);
  await sleep(Math.max(0, startedAtMs + durationMs - performance.now()));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
