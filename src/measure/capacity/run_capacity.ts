/**
 * Writes docs/CAPACITY.md from the committed measurements.
 */

import { readFile, writeFile } from "node:fs/promises";
import type { Measurements } from "./measurements.ts";
import { renderCapacity } from "./render_capacity.ts";

const MEASUREMENTS_FILE = "src/measure/capacity/measured.json";
const NOTES_FILE = "src/measure/capacity/notes.md";
const PAGE_FILE = "docs/CAPACITY.md";

const measurements = JSON.parse(
  await readFile(MEASUREMENTS_FILE, "utf8"),
) as Measurements;
const notes = await readFile(NOTES_FILE, "utf8");
await writeFile(PAGE_FILE, renderCapacity(measurements, notes));
console.log(`wrote ${PAGE_FILE}`);
