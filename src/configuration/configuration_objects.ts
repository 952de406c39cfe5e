/**
 * Names and limits of the objects that keep the configuration.
 */

/** Object whose conditional update accepts a configuration. */
export const CONFIGURATION_KEY = "configuration/current";

/** Base objects in the ring; with the interval they bound the history. */
export const BASE_SLOTS = 64;

/** Changes after which the next writer stores a new base. */
export const BASE_INTERVAL_CHANGES = 8;

/** Changes that the head keeps for readers that are a few versions behind. */
export const MAX_HEAD_CHANGES = 16;

/** Largest patch of a change that the head carries, in bytes; a larger one is stored as a whole state. */
export const MAX_PATCH_BYTES = 2_048;

/**
 * Names the object that holds a base.
 *
 * @param baseNumber - Number of the base
 * @returns The key; a base takes the place of the one a whole ring before
 *
 * @example
 * nameBaseKey(65); // "configuration/base-1"
 */
export function formatBaseKey(baseNumber: number): string {
  return `configuration/base-${baseNumber % BASE_SLOTS}`;
}
