/**
 * Search for repeated texts.
 */

/**
 * Finds the texts that a list contains more than once.
 *
 * @param texts - The list
 * @returns The repeated texts, once each
 *
 * @example
 * findDuplicates(["a", "b", "a"]); // ["a"]
 */
export function findDuplicates(texts: readonly string[]): string[] {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const text of texts) {
    (seen.has(text) ? repeated : seen).add(text);
  }
  return [...repeated];
}
