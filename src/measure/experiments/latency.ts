/**
 * Measures the latency that the daemons add to a call under moderate, steady load.
 * The same call alternates between the path through two daemons and a direct
 * request to the backend server. A health request to a daemon, interleaved with
 * them, shows the cost of a bare HTTP exchange on the same host.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { HEADERS } from "../../constants/mod.ts";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import type { Experiment, ExperimentResult, Plot } from "../experiment.ts";
import { Fleet, PORTS } from "../fleet.ts";

const CALLS = 8_000;
const WARM_UP_CALLS = 2_000;
const INTERVAL_MS = 2;
const MICROSECONDS_PER_MS = 1_000;
const PERCENTILES = [50, 90, 99] as const;
const PLOTTED_PERCENTILES = [1, 10, 25, 50, 75, 90, 95, 99] as const;

/** Request paths that are measured in rotation. */
const TIMED_PATHS = ["direct", "daemons", "bare"] as const;

type TimedPath = (typeof TIMED_PATHS)[number];
type LatencyHistograms = Readonly<Record<TimedPath, Histogram>>;

/** The experiment. */
export const experiment: Experiment = {
  description: "latency added to a call at p50, p90 and p99",
  run,
};

async function run(): Promise<ExperimentResult> {
  const fleet = new Fleet(createTestFleetPlan({
    protection: "on",
    network: await claimNetwork(),
    slots: 64,
    behavior: { serviceTimeMs: 2 },
  }));
  await fleet.start();
  const agent = new Agent({ connections: 64 });
  const entry = fleet.vms.find(({ plan }) => plan.service === "round-planning");
  const target = fleet.vms.find(({ plan }) => plan.service === "price-sheets");
  if (!entry || !target) {
    throw new Error("the fleet has no VM for round-planning or price-sheets");
  }
  const histograms: LatencyHistograms = {
    direct: createHistogram(),
    daemons: createHistogram(),
    bare: createHistogram(),
  };
  const urls: Record<TimedPath, string> = {
    direct: `http://${target.plan.address}:${PORTS.backendServer}/sheets/1`,
    daemons: `${entry.entryUrl}/call/price-sheets/sheets/1`,
    bare: `http://${entry.plan.address}:${PORTS.admin}/health`,
  };
  const startedAtMs = performance.now();
  const pending: Promise<void>[] = [];
  for (let call = 0; call < WARM_UP_CALLS + CALLS; call += 1) {
    const path = TIMED_PATHS[call % TIMED_PATHS.length] ?? "direct";
    const histogram = call < WARM_UP_CALLS ? undefined : histograms[path];
    pending.push(timeCall(agent, urls[path], histogram));
    const dueAtMs = startedAtMs + call * INTERVAL_MS;
    await new Promise((resolve) =>
      setTimeout(resolve, Math.max(0, dueAtMs - performance.now()))
    );
  }
  await Promise.all(pending);
  const durationMs = performance.now() - startedAtMs;
  const residentMb = await fleet.readResidentMb(entry);
  await agent.destroy();
  await fleet.stop();
  return summarize(histograms, { durationMs, residentMb });
}

function createHistogram(): Histogram {
  return buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Sends a request and records its latency in microseconds, unless warming up. */
async function timeCall(
  agent: Agent,
  url: string,
  histogram: Histogram | undefined,
): Promise<void> {
  const startedAtMs = performance.now();
  const { origin, pathname } = new URL(url);
  const headers = { [HEADERS.member]: "member-1" };
  const response = await agent.request({
    origin,
    path: pathname,
    method: "GET",
    headers,
  });
  await response.body.text();
  histogram?.recordValue(
    Math.max(
      1,
      Math.round((performance.now() - startedAtMs) * MICROSECONDS_PER_MS),
    ),
  );
}

function summarize(
  { direct, daemons, bare }: LatencyHistograms,
  { durationMs, residentMb }: { durationMs: number; residentMb: number },
): ExperimentResult {
  const read = (histogram: Histogram, percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const rows = PERCENTILES.map((percentile) => {
    const directMs = read(direct, percentile);
    const daemonsMs = read(daemons, percentile);
    const addedMs = Number((daemonsMs - directMs).toFixed(3));
    const bareMs = read(bare, percentile);
    return { percentile, directMs, daemonsMs, addedMs, bareMs };
  });
  const [p50, p90, p99] = rows;
  return {
    rows,
    plots: [createLatencyPlot({ direct, daemons, bare })],
    fields: {
      addedP50Ms: p50?.addedMs,
      addedP90Ms: p90?.addedMs,
      addedP99Ms: p99?.addedMs,
      bareP50Ms: p50?.bareMs,
      bareP99Ms: p99?.bareMs,
      callsPerSecond: Math.round(
        (WARM_UP_CALLS + CALLS) / (durationMs / 1_000),
      ),
      residentMb: Math.round(residentMb),
      targetAddedP99Ms: 0.56,
    },
  };
}

function createLatencyPlot(histograms: LatencyHistograms): Plot {
  return {
    title: "Latency of a call by percentile",
    xTitle: "percentile",
    yTitle: "milliseconds",
    points: TIMED_PATHS.flatMap((line) =>
      PLOTTED_PERCENTILES.map((x) => ({
        line,
        x,
        y: histograms[line].getValueAtPercentile(x) / MICROSECONDS_PER_MS,
      }))
    ),
  };
}
