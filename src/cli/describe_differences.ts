/**
 * Formatting of the differences between two configurations as text.
 */

import { createDocumentPatch } from "../configuration/mod.ts";
import type { Configuration } from "../generated/types.ts";
import { findValue, summarizePatch } from "../questionnaire/mod.ts";
import type { PatchChange } from "../questionnaire/mod.ts";

/**
 * Describes the differences between two configurations.
 *
 * @param before - The earlier configuration; null if there is none
 * @param after - The later configuration
 * @returns One line for each value, marked `+` if added, `-` if removed, `~` if changed
 *
 * @example
 * describeDifferences(active, proposed); // ["~ requests.fetch-round.deadlineMs: 2000 -> 800"]
 */
export function describeDifferences(
  before: Configuration | null,
  after: Configuration,
): string[] {
  const patch = createDocumentPatch(before, after);
  return summarizePatch(before, patch).map((change) =>
    describeChange(before, change)
  );
}

function describeChange(
  before: Configuration | null,
  { path, value }: PatchChange,
): string {
  const name = path.join(".");
  const old = findValue(before, path);
  if (value === null) {
    return `- ${name}`;
  }
  return old === undefined
    ? `+ ${name}: ${JSON.stringify(value)}`
    : `~ ${name}: ${JSON.stringify(old)} -> ${JSON.stringify(value)}`;
}
