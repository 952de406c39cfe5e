/**
 * Runs one experiment by name: a table for people, then one line of JSON.
 */

import { readdir } from "node:fs/promises";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { Experiment } from "./experiment.ts";

const EXPERIMENTS_FOLDER = new URL("./experiments/", import.meta.url);
const WRONG_USE = 2;

async function listExperiments(): Promise<string[]> {
  const files = await readdir(fileURLToPath(EXPERIMENTS_FOLDER));
  return files.filter((file) =>
    file.endsWith(".js") && !file.endsWith("_test.js")
  )
    .map((file) => file.replace(".js", "").replaceAll("_", "-"))
    .sort();
}

async function loadExperiment(name: string): Promise<Experiment> {
  const module = await import(
    new URL(`${name.replaceAll("-", "_")}.js`, EXPERIMENTS_FOLDER).href
  );
  return module.experiment;
}

async function main(): Promise<number> {
  const names = await listExperiments();
  const [name = ""] = process.argv.slice(2);
  if (name === "--list") {
    for (const each of names) {
      console.log(
        `${each.padEnd(16)} ${(await loadExperiment(each)).description}`,
      );
    }
    return 0;
  }
  if (!names.includes(name)) {
    console.error(
      `no experiment is called "${name}"; there are: ${names.join(", ")}`,
    );
    return WRONG_USE;
  }
  const experiment = await loadExperiment(name);
  const { rows, fields } = await experiment.run();
  console.table(rows);
  console.log(JSON.stringify({ experiment: name, ...fields }));
  return 0;
}

process.exit(await main());
