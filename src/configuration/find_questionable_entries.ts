/**
 * Finds entries of a valid configuration that are probably mistakes: those that
 * can never match, and limits that contradict each other.
 */

import type { Configuration } from "../generated/types.ts";
import { listReachableServices } from "./list_reachable_services.ts";
import { RouteTable } from "./route_table.ts";

/** Kinds of questionable entries. */
export const QUESTIONABLE = {
  unmatchableRoute: "unmatchable-route",
  weightlessSplit: "weightless-split",
  accountWithoutKeys: "account-without-keys",
  noAccounts: "no-accounts",
  publicWithoutAccounts: "public-without-accounts",
  unusedClass: "unused-class",
  unreachedService: "unreached-service",
  targetBeyondDeadline: "target-beyond-deadline",
  burstWithoutRate: "burst-without-rate",
  retriesWithoutBudget: "retries-without-budget",
  serviceWithoutInstances: "service-without-instances",
  retriesWithoutInstances: "retries-without-instances",
} as const;

/** One of {@link QUESTIONABLE}. */
export type QuestionableKind = (typeof QUESTIONABLE)[keyof typeof QUESTIONABLE];

/** A questionable entry. */
export interface QuestionableEntry {
  readonly kind: QuestionableKind;
  /** Name of the entry. */
  readonly entry: string;
  readonly message: string;
}

/**
 * Finds questionable entries of a configuration.
 *
 * @param configuration - A valid configuration
 * @param instanceCounts - Number of instances by service, if known
 * @returns The findings, in the order of the configuration
 *
 * @example
 * findQuestionableEntries(configuration); // [{ kind: "unused-class", entry: "bulk", ... }]
 */
export function findQuestionableEntries(
  configuration: Configuration,
  instanceCounts?: ReadonlyMap<string, number>,
): QuestionableEntry[] {
  return [
    ...findUnmatchable(configuration),
    ...findWeightlessSplits(configuration),
    ...findUnusedEntries(configuration),
    ...findQuestionableAccounts(configuration),
    ...findContradictoryLimits(configuration),
    ...instanceCounts
      ? findMissingInstances(configuration, instanceCounts)
      : [],
  ];
}

/** Finds requests that are not found by their own path prefix. */
function findUnmatchable({ requests }: Configuration): QuestionableEntry[] {
  const routes = new RouteTable(requests);
  return requests.filter((request) =>
    request.host !== undefined &&
    routes.findByHost(request.host, request.pathPrefix) !== request
  ).map(({ name, pathPrefix }) => ({
    kind: QUESTIONABLE.unmatchableRoute,
    entry: name,
    message:
      `request ${name} never matches: its path prefix ${pathPrefix} does not end with a slash`,
  }));
}

function findWeightlessSplits(
  { requests }: Configuration,
): QuestionableEntry[] {
  return requests.filter(({ weightedServices }) =>
    weightedServices?.every(({ weight }) => weight === 0)
  ).map(({ name }) => ({
    kind: QUESTIONABLE.weightlessSplit,
    entry: name,
    message: `request ${name} is split among services that all have weight 0`,
  }));
}

function findUnusedEntries(
  { accounts = [], classes, requests, services }: Configuration,
): QuestionableEntry[] {
  const usedClasses = new Set(
    [...requests, ...accounts].map(({ className }) => className),
  );
  const calls = new Map(services.map(({ name, calls }) => [name, calls]));
  const reached = new Set(
    requests.flatMap(({ service, reaches, weightedServices }) =>
      [
        service,
        ...(weightedServices ?? []).filter(({ weight }) => weight > 0)
          .map((weighted) => weighted.service),
      ].flatMap((start) =>
        listReachableServices({ service: start, reaches }, calls)
      )
    ),
  );
  return [
    ...classes.filter(({ name }) => !usedClasses.has(name)).map(({ name }) => ({
      kind: QUESTIONABLE.unusedClass,
      entry: name,
      message: `class ${name} is used by no request and no account`,
    })),
    ...services.filter(({ name }) => !reached.has(name)).map(({ name }) => ({
      kind: QUESTIONABLE.unreachedService,
      entry: name,
      message: `service ${name} is reached by no request`,
    })),
  ];
}

function findQuestionableAccounts(
  { accounts, requests }: Configuration,
): QuestionableEntry[] {
  if (!accounts) {
    return requests.filter(({ isPublic }) => isPublic).map(({ name }) => ({
      kind: QUESTIONABLE.publicWithoutAccounts,
      entry: name,
      message:
        `request ${name} is public, which has no effect without accounts`,
    }));
  }
  const isOpen = requests.every(({ isPublic }) => isPublic);
  return [
    ...accounts.length > 0 || isOpen ? [] : [{
      kind: QUESTIONABLE.noAccounts,
      entry: "accounts",
      message:
        "there are no accounts, so that every request that is not public is refused",
    }],
    ...accounts.filter(({ keyDigests }) => keyDigests.length === 0)
      .map(({ name }) => ({
        kind: QUESTIONABLE.accountWithoutKeys,
        entry: name,
        message: `account ${name} has no keys, so that no request is its own`,
      })),
    ...accounts.filter(({ burst = 0, ratePerSecond = 0 }) =>
      burst > 0 && ratePerSecond === 0
    ).map(({ name }) => ({
      kind: QUESTIONABLE.burstWithoutRate,
      entry: name,
      message:
        `account ${name} has a burst but no rate, and is therefore unlimited`,
    })),
  ];
}

function findContradictoryLimits(
  { requests, retryRatio, retrySlack = 0 }: Configuration,
): QuestionableEntry[] {
  return requests.flatMap(
    ({ name, deadlineMs, retryAllowance, targetLatencyMs = 0 }) => [
      ...targetLatencyMs <= deadlineMs ? [] : [{
        kind: QUESTIONABLE.targetBeyondDeadline,
        entry: name,
        message:
          `request ${name} has a deadline of ${deadlineMs} ms, below its target latency of ${targetLatencyMs} ms`,
      }],
      ...retryAllowance === 0 || retryRatio > 0 || retrySlack > 0 ? [] : [{
        kind: QUESTIONABLE.retriesWithoutBudget,
        entry: name,
        message:
          `request ${name} may be retried ${retryAllowance} times, but the retry ratio and slack are 0`,
      }],
    ],
  );
}

function findMissingInstances(
  { requests }: Configuration,
  instanceCounts: ReadonlyMap<string, number>,
): QuestionableEntry[] {
  return requests.flatMap((request) => {
    const { name, retryAllowance, service, weightedServices } = request;
    const services = weightedServices?.filter(({ weight }) => weight > 0)
      .map((weighted) => weighted.service) ?? [service];
    return services.flatMap((each): QuestionableEntry[] => {
      const count = instanceCounts.get(each) ?? 0;
      if (count === 0) {
        return [{
          kind: QUESTIONABLE.serviceWithoutInstances,
          entry: name,
          message: `request ${name} goes to ${each}, which has no instance`,
        }];
      }
      return count > 1 || retryAllowance === 0 ? [] : [{
        kind: QUESTIONABLE.retriesWithoutInstances,
        entry: name,
        message:
          `request ${name} may be retried ${retryAllowance} times, but ${each} has a single instance`,
      }];
    });
  });
}
