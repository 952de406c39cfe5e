/**
 * Keys and limits of the objects that store the configuration.
 */

/** Key of the head object; its conditional update accepts a configuration. */
export const CONFIGURATION_KEY = "configuration/current";

/** Number of base objects in the ring; together with the interval it bounds the history. */
export const BASE_SLOTS = 64;

/** Number of changes after which the next writer stores a new base. */
export const BASE_INTERVAL_CHANGES = 8;

/** Number of changes that the head retains for readers that are a few versions behind. */
export const MAX_HEAD_CHANGES = 16;

/** Maximum size of a patch in the head, in bytes; a larger change is stored as a full state. */
export const MAX_PATCH_BYTES = 2_048;

/**
 * Returns the key of the object that holds a base.
 *
 * @param baseNumber - Number of the base
 * @returns The key; base numbers that are {@link BASE_SLOTS} apart share a key
 *
 * @example
 * formatBaseKey(65); // "configuration/base-1"
 */
export function formatBaseKey(baseNumber: number): string {
  return `configuration/base-${baseNumber % BASE_SLOTS}`;
}
