/**
 * Writes docs/CAPACITY.md from the committed measurements.
 *
 * With `--check` nothing is written: the command fails when the page is not
 * what the measurements give.
 */

import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import type { Measurements } from "./measurements.ts";
import { renderCapacity } from "./render_capacity.ts";

const MEASUREMENTS_FILE = "src/measure/capacity/measured.json";
const NOTES_FILE = "src/measure/capacity/notes.md";
const PAGE_FILE = "docs/CAPACITY.md";

async function main(): Promise<number> {
  const measurements = JSON.parse(
    await readFile(MEASUREMENTS_FILE, "utf8"),
  ) as Measurements;
  const page = renderCapacity(
    measurements,
    await readFile(NOTES_FILE, "utf8"),
  );
  if (process.argv.includes("--check")) {
    const committed = await readFile(PAGE_FILE, "utf8").catch(() => "");
    if (committed !== page) {
      console.error(`${PAGE_FILE} is not up to date: run npm run capacity`);
      return 1;
    }
    return 0;
  }
  await writeFile(PAGE_FILE, page);
  console.log(`wrote ${PAGE_FILE}`);
  return 0;
}

process.exit(await main());
