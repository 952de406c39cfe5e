/**
 * Deterministic subsetting, so that connections and per-instance state do not
 * grow with the product of callers and instances.
 */

import { hashText } from "../hashing/mod.ts";

/**
 * Chooses the instances that this daemon uses, by rendezvous hashing: each
 * pair of daemon and instance is hashed to a weight, and the instances with the
 * highest weights are kept. Adding or removing an instance changes at most one
 * entry of a subset.
 *
 * @param own - Incarnation of this daemon
 * @param instances - Instances to choose from
 * @param size - Maximum number of instances to keep
 * @returns The subset
 *
 * @example
 * const subset = chooseSubset(self.incarnation, instances, 8);
 */
export function chooseSubset<T extends { readonly incarnation: string }>(
  own: string,
  instances: readonly T[],
  size: number,
): readonly T[] {
  if (instances.length <= size) {
    return instances;
  }
  return instances
    .map((instance) => ({
      instance,
      weight: hashText(`${own}|${instance.incarnation}`),
    }))
    .sort((first, second) => second.weight - first.weight)
    .slice(0, size)
    .map(({ instance }) => instance);
}
