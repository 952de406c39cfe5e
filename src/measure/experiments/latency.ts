/**
 * Time that the daemons add to a call at a moderate steady load: the same call
 * through two daemons and straight to the backend server, alternated.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { HEADERS } from "../../constants/mod.ts";
import { claimNetwork } from "../../testing/claim_network.ts";
import { createMorningFleet } from "../create_morning_fleet.ts";
import type { Experiment, ExperimentResult } from "../experiment.ts";
import { Fleet, PORTS } from "../fleet.ts";

const CALLS = 8_000;
const WARM_UP_CALLS = 2_000;
const INTERVAL_MS = 2;
const MICROSECONDS_PER_MS = 1_000;
const PERCENTILES = [50, 90, 99] as const;

/** The experiment. */
export const experiment: Experiment = {
  description: "time added to one call at p50, p90 and p99",
  run,
};

async function run(): Promise<ExperimentResult> {
  const fleet = new Fleet(createMorningFleet({
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
    throw new Error("the fleet lacks a service");
  }
  const histograms = {
    direct: createHistogram(),
    throughDaemons: createHistogram(),
  };
  const directUrl =
    `http://${target.plan.address}:${PORTS.backendServer}/sheets/1`;
  const daemonUrl = `${entry.entryUrl}/call/price-sheets/sheets/1`;
  const startedAtMs = performance.now();
  const pending: Promise<void>[] = [];
  for (let call = 0; call < WARM_UP_CALLS + CALLS; call += 1) {
    const isDirect = call % 2 === 0;
    const histogram = isDirect ? histograms.direct : histograms.throughDaemons;
    pending.push(
      timeCall(
        agent,
        isDirect ? directUrl : daemonUrl,
        call < WARM_UP_CALLS ? undefined : histogram,
      ),
    );
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
  { direct, throughDaemons }: Record<"direct" | "throughDaemons", Histogram>,
  { durationMs, residentMb }: { durationMs: number; residentMb: number },
): ExperimentResult {
  const rows = PERCENTILES.map((percentile) => {
    const directMs = direct.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MS;
    const daemonsMs = throughDaemons.getValueAtPercentile(percentile) /
      MICROSECONDS_PER_MS;
    return {
      percentile,
      directMs,
      daemonsMs,
      addedMs: Number((daemonsMs - directMs).toFixed(3)),
    };
  });
  const [p50, p90, p99] = rows.map(({ addedMs }) => addedMs);
  return {
    rows,
    fields: {
      addedP50Ms: p50,
      addedP90Ms: p90,
      addedP99Ms: p99,
      callsPerSecond: Math.round(
        (WARM_UP_CALLS + CALLS) / (durationMs / 1_000),
      ),
      residentMb: Math.round(residentMb),
      targetAddedP99Ms: 0.56,
    },
  };
}
