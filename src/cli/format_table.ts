/**
 * Formatting of plain-text tables.
 */

import Table from "cli-table3";

const NO_BORDERS = {
  "top": "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  "bottom": "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  "left": "",
  "left-mid": "",
  "mid": "",
  "mid-mid": "",
  "right": "",
  "right-mid": "",
  "middle": "  ",
} as const;

/**
 * Formats rows as a table with aligned columns, without borders or colors.
 *
 * @param head - Column headers
 * @param rows - Cells of each row
 * @returns The table as text
 *
 * @example
 * formatTable(["service", "limit"], [["stock", "20"]]);
 */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...head],
    chars: NO_BORDERS,
    style: { "padding-left": 0, "padding-right": 0, head: [], border: [] },
  });
  table.push(...rows.map((row) => [...row]));
  return table.toString().split("\n").map((line) => line.trimEnd()).join("\n");
}
