/**
 * Lookup of a value in a document by its path.
 */

/**
 * Finds the value at a path. List entries are identified by their `name`.
 *
 * @param document - The document
 * @param path - Object keys and names of list entries that lead to the value
 * @returns The value; undefined if there is none
 *
 * @example
 * findValue(configuration, ["requests", "fetch-round", "deadlineMs"]);
 */
export function findValue(document: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((value, key) => {
    if (Array.isArray(value)) {
      return value.find((entry) => entry?.name === key);
    }
    return (value as Record<string, unknown> | null | undefined)?.[key];
  }, document);
}
