/**
 * Finds and loads the experiments in `experiments/`.
 */

import { readdir } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import type { Experiment } from "./experiment.ts";

const EXPERIMENTS_FOLDER = new URL("./experiments/", import.meta.url);

/**
 * Lists the names of all experiments.
 *
 * @returns The names in alphabetical order
 *
 * @example
 * const names = await listExperiments();
 */
export async function listExperiments(): Promise<string[]> {
  const files = await readdir(fileURLToPath(EXPERIMENTS_FOLDER));
  return files.filter((file) =>
    file.endsWith(".js") && !file.endsWith("_test.js")
  ).map((file) => file.replace(".js", "").replaceAll("_", "-")).sort();
}

/**
 * Loads an experiment by name.
 *
 * @param name - One of the names that `listExperiments` returns
 * @returns The experiment; the promise rejects if its module does not exist
 *
 * @example
 * const { rows } = await (await loadExperiment("surge")).run();
 */
export async function loadExperiment(name: string): Promise<Experiment> {
  const file = `${name.replaceAll("-", "_")}.js`;
  const module = await import(new URL(file, EXPERIMENTS_FOLDER).href);
  return module.experiment;
}
