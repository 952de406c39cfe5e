/**
 * Runs the demo: the same load on a fleet with and without protection, compared
 * side by side, and checks of the guarantees. Exits with code 1 if a guarantee
 * was violated or a call of the example check was not answered.
 */

import process from "node:process";
import type { GuaranteeFinding } from "./demo/checking_caller.ts";
import { checkExample } from "./demo/check_example.ts";
import { DEMO_PHASES, runDemoLoad } from "./demo/run_morning.ts";
import type { DemoResult } from "./demo/run_morning.ts";
import type { TableRow } from "./experiment.ts";
import { computeRecoveryMs, countRequests } from "./load/mod.ts";
import type { LoadReport } from "./load/mod.ts";

const CLASSES = ["deliveries", "rounds"] as const;
const RECOVERED_RATIO = 0.95;
const MICROSECONDS_PER_MS = 1_000;

async function main(): Promise<number> {
  const reportProgress = (text: string) => console.log(`demo: ${text}`);
  reportProgress(
    "one call of each request kind with the configuration of Verrou Boréal",
  );
  const verrou = await checkExample("verrou_boreal");
  const on = await runDemoLoad("on", reportProgress);
  const off = await runDemoLoad("off", reportProgress);
  console.log("\nVerrou Boréal: one call of each request kind");
  console.table(verrou);
  console.log("Requests answered completely and in time, by phase and class");
  console.table(tabulateGoodput(on.report, off.report));
  console.log("Unanswered requests, by reason of the last attempt");
  console.table(tabulateReasons(on.report, off.report));
  console.log(
    "Latency of answered requests, and recovery time after the slow deep service",
  );
  console.table(tabulateTimes(on.report, off.report));
  console.log("Guarantees");
  console.table([...labelFindings("on", on), ...labelFindings("off", off)]);
  const violated = [...on.findings, ...off.findings].filter((finding) =>
    finding.broken > 0
  );
  const isAnswered = verrou.every(({ outcome }) => outcome === "answered");
  const hasPassed = violated.length === 0 && isAnswered;
  console.log(hasPassed ? "all guarantees held" : "a guarantee was violated");
  return hasPassed ? 0 : 1;
}

function tabulateGoodput(on: LoadReport, off: LoadReport): TableRow[] {
  return DEMO_PHASES.flatMap(({ name, durationMs }) =>
    CLASSES.map((className) => ({
      phase: name,
      class: className,
      protected: formatGoodput(on, { name, durationMs, className }),
      unprotected: formatGoodput(off, { name, durationMs, className }),
    }))
  );
}

interface GoodputInterval {
  readonly name: string;
  readonly durationMs: number;
  readonly className: string;
}

function formatGoodput(report: LoadReport, interval: GoodputInterval): string {
  const fromMs = report.phaseStartsMs[interval.name] ?? 0;
  const untilMs = fromMs + interval.durationMs;
  const classNames = [interval.className];
  const { offered, answered } = countRequests(report, {
    fromMs,
    untilMs,
    classNames,
  });
  const percent = offered === 0 ? 0 : 100 * answered / offered;
  return `${answered} of ${offered} (${percent.toFixed(1)}%)`;
}

function tabulateReasons(on: LoadReport, off: LoadReport): TableRow[] {
  const [protectedCounts, unprotectedCounts] = [on, off].map(countReasons);
  const reasons = new Set([
    ...protectedCounts?.keys() ?? [],
    ...unprotectedCounts?.keys() ?? [],
  ]);
  return [...reasons].sort().map((reason) => ({
    reason,
    protected: protectedCounts?.get(reason) ?? 0,
    unprotected: unprotectedCounts?.get(reason) ?? 0,
  }));
}

function countReasons(report: LoadReport): Map<string, number> {
  const totals = new Map<string, number>();
  for (const { byClass } of report.buckets) {
    for (const { reasons } of Object.values(byClass)) {
      for (const [reason, count] of Object.entries(reasons)) {
        totals.set(reason, (totals.get(reason) ?? 0) + count);
      }
    }
  }
  return totals;
}

function tabulateTimes(on: LoadReport, off: LoadReport): TableRow[] {
  const latencies = CLASSES.flatMap((className) =>
    [50, 99].map((percentile) => ({
      measure: `${className} p${percentile} (ms)`,
      protected: readLatencyMs(on, className, percentile),
      unprotected: readLatencyMs(off, className, percentile),
    }))
  );
  return [...latencies, {
    measure: "recovery (ms)",
    protected: readRecoveryMs(on),
    unprotected: readRecoveryMs(off),
  }];
}

/** Returns a latency percentile of the answered requests of a class, in milliseconds. */
function readLatencyMs(
  report: LoadReport,
  className: string,
  percentile: number,
): number {
  const histogram = report.latencyByClass[className];
  return (histogram?.getValueAtPercentile(percentile) ?? 0) /
    MICROSECONDS_PER_MS;
}

function readRecoveryMs(report: LoadReport): number {
  const triggerEndMs = report.phaseStartsMs["recovery"] ?? 0;
  const durationMs = DEMO_PHASES.at(-1)?.durationMs ?? 0;
  return computeRecoveryMs(report, {
    triggerEndMs,
    untilMs: triggerEndMs + durationMs,
    answeredRatio: RECOVERED_RATIO,
  });
}

function labelFindings(protection: string, { findings }: DemoResult) {
  return findings.map((finding: GuaranteeFinding) => ({
    protection,
    ...finding,
  }));
}

process.exit(await main());
