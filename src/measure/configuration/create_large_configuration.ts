/**
 * Generates configurations of a given size, and changes to them, for
 * measurements.
 */

import type { Configuration } from "../../generated/types.ts";
import { createTestConfiguration } from "../../testing/create_test_configuration.ts";

const REQUESTS_PER_SERVICE = 3;
const CALLS_PER_SERVICE = 3;

/**
 * Creates a configuration with three request definitions per service. Each service
 * calls the next three services.
 *
 * @param serviceCount - Number of services
 * @returns The configuration
 *
 * @example
 * const configuration = createLargeConfiguration(700);
 */
export function createLargeConfiguration(serviceCount: number): Configuration {
  const names = Array.from(
    { length: serviceCount },
    (_, index) => `service-${index}`,
  );
  const services = names.map((name, index) => ({
    name,
    calls: names.slice(index + 1, index + 1 + CALLS_PER_SERVICE),
  }));
  const requests = names.flatMap((service, index) =>
    Array.from({ length: REQUESTS_PER_SERVICE }, (_, requestIndex) => ({
      name: `${service}-request-${requestIndex}`,
      service,
      method: "GET" as const,
      pathPrefix: `/requests/${requestIndex}`,
      className: "rounds",
      isRepeatable: true,
      isBulk: false,
      deadlineMs: 2_000,
      retryAllowance: 3,
      reaches: names.slice(index + 1, index + 1 + CALLS_PER_SERVICE),
    }))
  );
  return createTestConfiguration({ services, requests });
}

/**
 * Returns a copy of a configuration with the deadline of one request changed.
 *
 * @param configuration - Configuration to change
 * @param changeNumber - Number of the change; selects the request and the deadline
 * @returns The changed configuration
 *
 * @example
 * const next = changeRequestDeadline(configuration, 7);
 */
export function changeRequestDeadline(
  configuration: Configuration,
  changeNumber: number,
): Configuration {
  const changedIndex = changeNumber % configuration.requests.length;
  return {
    ...configuration,
    requests: configuration.requests.map((request, index) =>
      index === changedIndex
        ? { ...request, deadlineMs: 1_000 + changeNumber }
        : request
    ),
  };
}
