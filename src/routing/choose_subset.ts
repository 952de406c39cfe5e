/**
 * Deterministic subsets, so that connections and state do not grow with the
 * product of callers and instances.
 */

/** Start value and factor of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
      weight: hash(`${own}|${instance.incarnation}`),
    }))
    .sort((one, other) => other.weight - one.weight)
    .slice(0, size)
    .map(({ instance }) => instance);
}

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
