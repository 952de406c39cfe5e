/**
 * Bound on the services by which counters are divided.
 */

import type { Counter } from "prom-client";

/** Number of services that a counter may name; a fleet has several hundred. */
const MAX_SERVICES = 1_024;

/**
 * Removes the values of services that are gone from counters that name too many.
 * Values of the others stay, and so do all while there are few.
 *
 * @param counters - Counters with the label `service`
 * @param services - Services of the active configuration
 * @returns Resolves when the values are removed
 *
 * @example
 * await retainServices([metrics.attempts], new Set(["stock"]));
 */
export async function retainServices(
  counters: readonly Counter<"service">[],
  services: ReadonlySet<string>,
): Promise<void> {
  for (const counter of counters) {
    const { values } = await counter.get();
    const named = new Set(values.map(({ labels }) => labels.service));
    if (named.size <= MAX_SERVICES) {
      continue;
    }
    for (const { labels } of values) {
      if (!services.has(String(labels.service))) {
        counter.remove(labels);
      }
    }
  }
}
