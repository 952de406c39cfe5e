/**
 * Checks of recorded histories of configurations.
 */

import type VError from "verror";
import type { Result } from "neverthrow";
import type { ConfigurationChange } from "../generated/types.ts";
import type { InForceEvent } from "./configuration_fleet.ts";

/** What an operator was told about a change. */
export interface SubmittedChange {
  readonly changeId: string;
  readonly result: Result<number, VError>;
}

/**
 * Finds processes in which a version fell, and versions with two contents.
 *
 * @param events - Versions in the order in which they came into force
 * @returns One sentence for each violation
 *
 * @example
 * assert.equal(findReversions(fleet.events), []);
 */
export function findVersionViolations(
  events: readonly InForceEvent[],
): string[] {
  const versions = new Map<string, number>();
  const digests = new Map<number, string>();
  return events.flatMap(({ incarnation, version, digest }) => {
    const previous = versions.get(incarnation) ?? 0;
    const knownDigest = digests.get(version) ?? digest;
    versions.set(incarnation, version);
    digests.set(version, knownDigest);
    return [
      ...version > previous
        ? []
        : [`${incarnation} went from ${previous} to ${version}`],
      ...digest === knownDigest
        ? []
        : [`${incarnation} holds another version ${version}`],
    ];
  });
}

/**
 * Finds changes whose operator was told something else than what happened.
 *
 * @param submitted - What each operator was told
 * @param accepted - Every accepted change
 * @returns One sentence for each violation
 *
 * @example
 * assert.equal(findFalseVerdicts(submitted, history), []);
 */
export function findWrongOutcomes(
  submitted: readonly SubmittedChange[],
  accepted: readonly ConfigurationChange[],
): string[] {
  return submitted.flatMap(({ changeId, result }) => {
    const found = accepted.filter((change) => change.changeId === changeId);
    if (found.length > 1) {
      return [`${changeId} was accepted twice`];
    }
    if (result.isOk()) {
      return found[0]?.version === result.value
        ? []
        : [`${changeId} was told version ${result.value}, but is not there`];
    }
    const isHonest = result.error.name === "ConfigurationUnsettled" ||
      found.length === 0;
    return isHonest
      ? []
      : [`${changeId} was told ${result.error.name}, but was accepted`];
  });
}
