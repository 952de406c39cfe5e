/**
 * Runs one experiment by name. Prints the result table, then one line of JSON
 * with the metrics. `--list` prints the available experiments.
 */

import process from "node:process";
import { listExperiments, loadExperiment } from "./list_experiments.ts";

const USAGE_ERROR_EXIT_CODE = 2;
const NAME_WIDTH = 16;

async function main(): Promise<number> {
  const names = await listExperiments();
  const [name = ""] = process.argv.slice(2);
  if (name === "--list") {
    for (const each of names) {
      const { description } = await loadExperiment(each);
      console.log(`${each.padEnd(NAME_WIDTH)} ${description}`);
    }
    return 0;
  }
  if (!names.includes(name)) {
    console.error(
      `unknown experiment "${name}"; available: ${names.join(", ")}`,
    );
    return USAGE_ERROR_EXIT_CODE;
  }
  const { rows, fields } = await (await loadExperiment(name)).run();
  console.table(rows);
  console.log(JSON.stringify({ experiment: name, ...fields }));
  return 0;
}

process.exit(await main());
