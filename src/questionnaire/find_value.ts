/**
 * Values within a document.
 */

/**
 * Finds the value at a path; entries of lists are found by their name.
 *
 * @param document - The document
 * @param path - Keys and names that lead to the value
 * @returns The value; undefined where there is none
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
