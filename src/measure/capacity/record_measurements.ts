/**
 * Runs the measurements from which the capacity page is computed and writes them
 * to measured.json beside this file.
 *
 * With `--membership FILE`, the metrics of the `membership` experiment are read
 * from its saved output; otherwise the experiment is run.
 */

import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { experiment } from "../experiments/membership.ts";
import { fitLine } from "./fit_line.ts";
import { measureCallCosts } from "./measure_call_costs.ts";
import { measureKeyBytes } from "./measure_key_bytes.ts";
import type { MembershipMeasurements } from "./measurements.ts";

const OUTPUT_FILE = "src/measure/capacity/measured.json";
const KEY_COUNTS = [5_000, 10_000, 20_000, 40_000] as const;

async function main(): Promise<void> {
  const membership = await getMembershipMeasurements();
  const callSamples = await measureCallCosts();
  const keySamples = await measureKeyBytes(KEY_COUNTS);
  const fitToCallRate = (
    read: (sample: typeof callSamples[number]) => number,
  ) =>
    fitLine(
      callSamples.map((sample) => ({
        x: sample.callsPerSecond,
        y: read(sample),
      })),
    );
  const measurements = {
    measuredOn: new Date().toISOString().slice(0, 10),
    membership,
    entryCpuMsPerCall: fitToCallRate((sample) => sample.entryCpuMsPerSecond),
    backendCpuMsPerCall: fitToCallRate((sample) =>
      sample.backendCpuMsPerSecond
    ),
    callSamples,
    keyBytes: fitLine(
      keySamples.map(({ keys, heapBytes }) => ({ x: keys, y: heapBytes })),
    ),
  };
  await writeFile(OUTPUT_FILE, `${JSON.stringify(measurements, null, 2)}\n`);
  console.log(`wrote ${OUTPUT_FILE}`);
}

async function getMembershipMeasurements(): Promise<MembershipMeasurements> {
  const index = process.argv.indexOf("--membership");
  const file = process.argv[index + 1];
  if (index < 0 || file === undefined) {
    const { fields } = await experiment.run();
    return fields as unknown as MembershipMeasurements;
  }
  const lines = (await readFile(file, "utf8")).split("\n");
  const line = lines.find((each) => each.startsWith("{")) ?? "{}";
  return JSON.parse(line) as MembershipMeasurements;
}

await main();
process.exit(0);
