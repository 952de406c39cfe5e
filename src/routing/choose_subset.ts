/**
 * Deterministic subsets, so that connections and state do not grow with the
 * product of callers and instances.
 */

import { hashText } from "../hashing/mod.ts";

/**
 * Chooses the instances that this daemon uses, by rendezvous hashing: of each
 * pair of daemon and instance a weight is hashed, and the heaviest stay. When
 * an instance comes or goes, only one place in a subset changes.
 *
 * @param own - Incarnation of this daemon
 * @param instances - Instances to choose from
 * @param size - Most instances to keep
 * @returns The subset
 *
 * @example
 * const used = chooseSubset(self.incarnation, instances, 8);
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
    .sort((one, other) => other.weight - one.weight)
    .slice(0, size)
    .map(({ instance }) => instance);
}
