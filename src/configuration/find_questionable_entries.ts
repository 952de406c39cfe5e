/**
 * Finds entries of a valid configuration that are probably mistakes: those that
 * can never match, and limits that contradict each other.
 */

import type {
  Configuration,
  RequestConfiguration,
} from "../generated/types.ts";
import { listReachableServices } from "./list_reachable_services.ts";

/** Kinds of questionable entries. */
export const QUESTIONABLE = {
  hiddenRoute: "hidden-route",
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
    ...findHiddenRoutes(configuration),
    ...configuration.requests.flatMap(findUnmatchable),
    ...findUnusedEntries(configuration),
    ...findQuestionableAccounts(configuration),
    ...findContradictoryLimits(configuration),
    ...instanceCounts
      ? findMissingInstances(configuration, instanceCounts)
      : [],
  ];
}

/** Of several requests with the same host and path prefix, the last one by name is used. */
function findHiddenRoutes({ requests }: Configuration): QuestionableEntry[] {
  const used = new Map<string, string>();
  const byName = [...requests].sort((left, right) =>
    left.name < right.name ? -1 : 1
  );
  const createKey = ({ host, pathPrefix }: RequestConfiguration) =>
    `${host} ${pathPrefix}`;
  const routes = byName.filter(({ host }) => host !== undefined);
  routes.forEach((request) => used.set(createKey(request), request.name));
  return routes.flatMap((request) => {
    const user = used.get(createKey(request));
    return user === request.name ? [] : [{
      kind: QUESTIONABLE.hiddenRoute,
      entry: request.name,
      message:
        `request ${request.name} never matches: request ${user} has the same host and path prefix ${
          createKey(request)
        }`,
    }];
  });
}

function findUnmatchable(
  { name, host, pathPrefix, weightedServices }: RequestConfiguration,
): QuestionableEntry[] {
  const kind = QUESTIONABLE.unmatchableRoute;
  const entry = name;
  const hasMatchingHost = host === undefined ||
    (host === host.toLowerCase() && !/:\d+$/.test(host));
  const totalWeight = weightedServices?.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  return [
    ...host === undefined || pathPrefix.endsWith("/") ? [] : [{
      ...{ kind, entry },
      message:
        `request ${name} never matches: its path prefix ${pathPrefix} does not end with a slash`,
    }],
    ...hasMatchingHost ? [] : [{
      ...{ kind, entry },
      message:
        `request ${name} never matches: its host ${host} has a port or capital letters`,
    }],
    ...totalWeight !== 0 ? [] : [{
      ...{ kind: QUESTIONABLE.weightlessSplit, entry },
      message: `request ${name} is split among services that all have weight 0`,
    }],
  ];
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
