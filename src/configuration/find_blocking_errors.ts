/**
 * Finds what no daemon may activate, because requests would run where or when
 * they must not, or because daemons would disagree.
 *
 * A version is refused as a whole for these. Anything else is an objection of
 * `findInconsistencies`, for which only a writer refuses it.
 */

import type { Configuration } from "../generated/types.ts";
import { describePlace } from "./describe_place.ts";
import { findDuplicates } from "./find_duplicates.ts";
import { REFUSAL_REASONS } from "./refusal_reasons.ts";
import type { ConfigurationFinding } from "./refusal_reasons.ts";
import { RouteTable } from "./route_table.ts";

/** Longest time for which a request is held, in milliseconds. */
export const MAX_DEADLINE_MS = 600_000;

/** Longest name that messages between daemons have room for, in UTF-16 units. */
const MAX_NAME_LENGTH = 256;

/**
 * Finds the errors for which a configuration is refused as a whole.
 *
 * @param configuration - A configuration that a reader can read
 * @returns One finding per error
 *
 * @example
 * findBlockingErrors(configuration); // [{ reason: "duplicate-route", entries: ["a", "b"], ... }]
 */
export function findBlockingErrors(
  configuration: Configuration,
): ConfigurationFinding[] {
  return [
    ...findDuplicateNames(configuration),
    ...findLongNames(configuration),
    ...findUnknownServices(configuration),
    ...findDuplicateKeys(configuration),
    ...findDuplicateRoutes(configuration),
    ...findLongTimeouts(configuration),
  ];
}

/** Names under which entries are patched and looked up. */
function listNames(
  { accounts = [], requests, services }: Configuration,
): Record<string, string[]> {
  return {
    service: services.map(({ name }) => name),
    request: requests.map(({ name }) => name),
    account: accounts.map(({ name }) => name),
  };
}

function findDuplicateNames(
  configuration: Configuration,
): ConfigurationFinding[] {
  return Object.entries(listNames(configuration)).flatMap(([what, names]) =>
    findDuplicates(names).map((name) => ({
      reason: REFUSAL_REASONS.duplicateName,
      entries: [name],
      message: `${what} ${name} is listed twice`,
    }))
  );
}

function findLongNames(configuration: Configuration): ConfigurationFinding[] {
  const names = listNames(configuration);
  names.class = configuration.classes.map(({ name }) => name);
  return Object.entries(names).flatMap(([what, each]) =>
    each.filter(({ length }) => length > MAX_NAME_LENGTH).map((name) => ({
      reason: REFUSAL_REASONS.nameTooLong,
      entries: [name],
      message:
        `${what} ${name} has a name of more than ${MAX_NAME_LENGTH} characters`,
    }))
  );
}

function findUnknownServices(
  { requests, services }: Configuration,
): ConfigurationFinding[] {
  const known = new Set(services.map(({ name }) => name));
  return requests.flatMap((request) => {
    const { name, service, weightedServices = [] } = request;
    return [service, ...weightedServices.map((weighted) => weighted.service)]
      .filter((target) => !known.has(target))
      .map((target) => ({
        reason: REFUSAL_REASONS.unknownService,
        entries: [name],
        message: `request ${name} (${
          describePlace(request)
        }) refers to unknown service ${target}`,
      }));
  });
}

/** Finds accounts that share a key; the message names neither the key nor its digest. */
function findDuplicateKeys(
  { accounts = [] }: Configuration,
): ConfigurationFinding[] {
  const owners = new Map<string, string>();
  return accounts.flatMap(({ name, keyDigests }) =>
    keyDigests.flatMap((digest) => {
      const owner = owners.get(digest) ?? name;
      owners.set(digest, owner);
      return owner === name ? [] : [{
        reason: REFUSAL_REASONS.duplicateKey,
        entries: [owner, name],
        message: `accounts ${owner} and ${name} have the same key`,
      }];
    })
  );
}

function findDuplicateRoutes(
  { requests }: Configuration,
): ConfigurationFinding[] {
  return new RouteTable(requests).conflicts.map((
    { usedName, hiddenName, place },
  ) => ({
    reason: REFUSAL_REASONS.duplicateRoute,
    entries: [usedName, hiddenName],
    message:
      `requests ${usedName} and ${hiddenName} have the same route: ${place}`,
  }));
}

function findLongTimeouts(
  { requests }: Configuration,
): ConfigurationFinding[] {
  return requests.filter(({ deadlineMs }) => deadlineMs > MAX_DEADLINE_MS)
    .map((request) => ({
      reason: REFUSAL_REASONS.timeoutTooLong,
      entries: [request.name],
      message: `request ${request.name} (${
        describePlace(request)
      }) has a deadline of ${request.deadlineMs} ms; the longest is ${MAX_DEADLINE_MS} ms`,
    }));
}
