/**
 * Runs the named experiments, or all, and writes an HTML report with tables and
 * plots and a JSON file with the metrics. Both files are updated after
 * each experiment.
 */

import { execFileSync } from "node:child_process";
import { mkdir, writeFile } from "node:fs/promises";
import { cpus, totalmem } from "node:os";
import process from "node:process";
import { listExperiments, loadExperiment } from "./list_experiments.ts";
import { createReportPage } from "./report/create_report_page.ts";
import type {
  ReportedExperiment,
  ReportEnvironment,
} from "./report/create_report_page.ts";

const REPORT_FOLDER = "report";
const BYTES_PER_GIB = 1_073_741_824;
const USAGE_ERROR_EXIT_CODE = 2;

async function main(): Promise<number> {
  const known = await listExperiments();
  const named = process.argv.slice(2);
  const unknown = named.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    console.error(`unknown experiments: ${unknown.join(", ")}`);
    return USAGE_ERROR_EXIT_CODE;
  }
  const environment = describeEnvironment();
  const experiments: ReportedExperiment[] = [];
  for (const name of named.length > 0 ? named : known) {
    console.log(`report: ${name}`);
    const experiment = await loadExperiment(name);
    const result = await experiment.run();
    const { description } = experiment;
    experiments.push({ name, description, result });
    console.log(JSON.stringify({ experiment: name, ...result.fields }));
    await writeReport(environment, experiments);
  }
  console.log(`report: ${REPORT_FOLDER}/index.html`);
  return 0;
}

async function writeReport(
  environment: ReportEnvironment,
  experiments: readonly ReportedExperiment[],
): Promise<void> {
  await mkdir(REPORT_FOLDER, { recursive: true });
  const page = await createReportPage(environment, experiments);
  await writeFile(`${REPORT_FOLDER}/index.html`, page);
  const figures = experiments.map(({ name, result }) => ({
    name,
    ...result.fields,
  }));
  const text = JSON.stringify({ ...environment, figures }, null, 2);
  await writeFile(`${REPORT_FOLDER}/figures.json`, text);
}

function describeEnvironment(): ReportEnvironment {
  const cores = cpus();
  const memoryGib = Math.round(totalmem() / BYTES_PER_GIB);
  return {
    machine: `${cores.length} cores (${cores[0]?.model.trim()}), ` +
      `${memoryGib} GiB, Node.js ${process.version}`,
    commit: readCommit(),
    startedAt: new Date().toISOString(),
  };
}

function readCommit(): string {
  try {
    const options = { encoding: "utf8" } as const;
    return execFileSync("git", ["rev-parse", "--short", "HEAD"], options)
      .trim();
  } catch {
    return "unknown";
  }
}

process.exit(await main());
