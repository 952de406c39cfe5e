/**
 * Documents with their long lists keyed by name.
 *
 * A JSON merge patch replaces a list as a whole. In keyed form a change of one
 * service or request is a patch of a few bytes, however many there are.
 */

/** An entry of a long list. */
export interface NamedEntry {
  readonly name: string;
}

/** A document whose services and requests have unique names. */
export interface NamedLists {
  readonly services: readonly NamedEntry[];
  readonly requests: readonly NamedEntry[];
}

/** Entries by name. */
export type EntriesByName = Readonly<Record<string, NamedEntry>>;

/** A document in keyed form. */
export type KeyedDocument = Readonly<Record<string, unknown>> & {
  readonly services: EntriesByName;
  readonly requests: EntriesByName;
};

/**
 * Keys the services and requests of a document by name.
 *
 * @param document - The document
 * @returns Its keyed form; entries are shared with the document
 *
 * @example
 * keyDocument(configuration).services["stock"];
 */
export function toKeyedDocument(document: NamedLists): KeyedDocument {
  return {
    ...document,
    services: indexByName(document.services),
    requests: indexByName(document.requests),
  };
}

/**
 * Turns a keyed document back into one with lists in canonical order.
 *
 * @param keyed - The keyed form
 * @returns The document, not yet validated
 *
 * @example
 * const document = listDocument(keyDocument(configuration));
 */
export function fromKeyedDocument(keyed: KeyedDocument): unknown {
  return {
    ...keyed,
    services: toSortedList(keyed.services),
    requests: toSortedList(keyed.requests),
  };
}

function indexByName(entries: readonly NamedEntry[]): EntriesByName {
  return Object.fromEntries(entries.map((entry) => [entry.name, entry]));
}

function toSortedList(entries: EntriesByName | undefined): NamedEntry[] {
  const names = Object.keys(entries ?? {}).sort();
  return names.flatMap((name) => entries?.[name] ?? []);
}
