/**
 * Checks of recorded configuration histories.
 */

import type VError from "verror";
import type { Result } from "neverthrow";
import type { ConfigurationChange } from "../generated/types.ts";
import type { ActivationEvent } from "./configuration_fleet.ts";

/** The result that was reported to the operator for a submitted change. */
export interface SubmittedChange {
  readonly changeId: string;
  readonly result: Result<number, VError>;
}

/**
 * Finds processes whose version did not increase, and versions with two
 * different contents.
 *
 * @param events - Activations in the order in which they happened
 * @returns One sentence for each violation
 *
 * @example
 * assert.equal(findVersionViolations(fleet.events), []);
 */
export function findVersionViolations(
  events: readonly ActivationEvent[],
): string[] {
  const latestVersions = new Map<string, number>();
  const digestsByVersion = new Map<number, string>();
  return events.flatMap(({ incarnation, version, digest }) => {
    const previous = latestVersions.get(incarnation) ?? 0;
    const expectedDigest = digestsByVersion.get(version) ?? digest;
    latestVersions.set(incarnation, version);
    digestsByVersion.set(version, expectedDigest);
    return [
      ...version > previous
        ? []
        : [`${incarnation} went from ${previous} to ${version}`],
      ...digest === expectedDigest
        ? []
        : [`${incarnation} has different content for version ${version}`],
    ];
  });
}

/**
 * Finds changes whose reported result contradicts the accepted history.
 *
 * `ConfigurationUnsettled` reports an unknown outcome and is consistent with
 * both.
 *
 * @param submitted - Submitted changes with their reported results
 * @param accepted - All accepted changes
 * @returns One sentence for each violation
 *
 * @example
 * assert.equal(findWrongOutcomes(submitted, history), []);
 */
export function findWrongOutcomes(
  submitted: readonly SubmittedChange[],
  accepted: readonly ConfigurationChange[],
): string[] {
  return submitted.flatMap(({ changeId, result }) => {
    const matches = accepted.filter((change) => change.changeId === changeId);
    if (matches.length > 1) {
      return [`${changeId} was accepted twice`];
    }
    if (result.isOk()) {
      return matches[0]?.version === result.value ? [] : [
        `${changeId} was reported as version ${result.value}, but is not in the history under it`,
      ];
    }
    const isConsistent = result.error.name === "ConfigurationUnsettled" ||
      matches.length === 0;
    return isConsistent
      ? []
      : [`${changeId} was reported as ${result.error.name}, but was accepted`];
  });
}
