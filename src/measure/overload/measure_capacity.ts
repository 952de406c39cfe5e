/**
 * Measures the capacity of backend servers by calling them directly, without a
 * daemon in between.
 */

import { Agent } from "undici";
import type { RunningVm } from "../fleet.ts";
import { PORTS } from "../fleet.ts";

const MS_PER_SECOND = 1_000;

/** Path without a call chain, so that only the called service does work. */
const PROBE_PATH = "/probe";

/**
 * Measures the throughput of the backend servers with every slot in use.
 *
 * @param vms - VMs of one service
 * @param durationMs - Length of the measurement, in milliseconds
 * @returns Completed calls per second, over all VMs
 *
 * @example
 * const callsPerSecond = await measureCapacity(stockVms, 1_500);
 */
export async function measureCapacity(
  vms: readonly RunningVm[],
  durationMs: number,
): Promise<number> {
  const agent = new Agent();
  const endMs = performance.now() + durationMs;
  const measurements = vms.flatMap(({ plan }) =>
    Array.from(
      { length: plan.slots },
      () => measureSlot(agent, { address: plan.address, endMs }),
    )
  );
  const rates = await Promise.all(measurements);
  await agent.destroy();
  return rates.reduce((sum, rate) => sum + rate, 0);
}

async function measureSlot(
  agent: Agent,
  { address, endMs }: { address: string; endMs: number },
): Promise<number> {
  const startMs = performance.now();
  let calls = 0;
  do {
    const response = await agent.request({
      origin: `http://${address}:${PORTS.backendServer}`,
      path: PROBE_PATH,
      method: "GET",
    });
    await response.body.dump();
    calls += 1;
  } while (performance.now() < endMs);
  return calls * MS_PER_SECOND / (performance.now() - startMs);
}
