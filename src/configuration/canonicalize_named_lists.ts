/**
 * Canonical ordering of documents, so that equal documents have equal digests.
 */

import type { NamedLists } from "./keyed_document.ts";

/**
 * Sorts the services, requests and accounts of a document by name.
 *
 * @param document - A configuration or questionnaire answers
 * @returns The same content in canonical order
 *
 * @example
 * const canonical = canonicalizeNamedLists(configuration);
 */
export function canonicalizeNamedLists<T extends NamedLists>(document: T): T {
  return {
    ...document,
    services: sortByName(document.services),
    requests: sortByName(document.requests),
    ...document.accounts && { accounts: sortByName(document.accounts) },
  };
}

function sortByName<T extends { readonly name: string }>(
  entries: readonly T[],
): T[] {
  return [...entries].sort((left, right) =>
    left.name < right.name ? -1 : Number(left.name > right.name)
  );
}
