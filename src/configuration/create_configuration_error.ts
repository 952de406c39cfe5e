/**
 * The error of a configuration that is refused.
 */

import VError from "verror";
import type { ConfigurationFinding } from "./refusal_reasons.ts";

/** Most findings that a reader's message lists; a configuration may have 100,000 entries. */
const MAX_LISTED_FINDINGS = 8;

/**
 * Creates a `ConfigurationInvalid` error. Its info has the `reason` of the first
 * finding, the names of the `entries` and the messages as `findings`.
 *
 * @param findings - What is wrong, at least one finding
 * @param listsAll - Whether every finding is listed instead of the first ones
 * @returns The error
 *
 * @example
 * return err(createConfigurationError(findings));
 */
export function createConfigurationError(
  findings: readonly ConfigurationFinding[],
  listsAll = false,
): VError {
  const listed = listsAll ? findings : findings.slice(0, MAX_LISTED_FINDINGS);
  const messages = listed.map(({ message }) => message);
  const omittedCount = findings.length - listed.length;
  return new VError(
    {
      name: "ConfigurationInvalid",
      info: {
        reason: findings[0]?.reason,
        entries: listed.flatMap(({ entries }) => entries),
        findings: messages,
      },
    },
    "%s%s",
    messages.join("; "),
    omittedCount > 0 ? `; and ${omittedCount} more` : "",
  );
}
