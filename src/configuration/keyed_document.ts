/**
 * Conversion of documents to a form whose services, requests and accounts are
 * keyed by name.
 *
 * A JSON merge patch replaces a list as a whole. In keyed form, a change to one
 * entry is a patch of a few bytes, regardless of their number.
 */

/** Follows a key that would otherwise be the name of a property of every object. */
const KEY_MARK = "\u0000";

/** An entry of a list keyed by name. */
export interface NamedEntry {
  readonly name: string;
}

/** A document whose services, requests and accounts have unique names. */
export interface NamedLists {
  readonly services: readonly NamedEntry[];
  readonly requests: readonly NamedEntry[];
  readonly accounts?: readonly NamedEntry[];
}

/** Entries keyed by name. */
export type EntriesByName = Readonly<Record<string, NamedEntry>>;

/** A document in keyed form. */
export type KeyedDocument = Readonly<Record<string, unknown>> & {
  readonly services: EntriesByName;
  readonly requests: EntriesByName;
  readonly accounts?: EntriesByName;
};

/**
 * Converts a document to keyed form.
 *
 * @param document - The document
 * @returns The keyed form, which shares its entries with the document
 *
 * @example
 * toKeyedDocument(configuration).services["stock"];
 */
export function toKeyedDocument(document: NamedLists): KeyedDocument {
  return {
    ...document,
    services: indexByName(document.services),
    requests: indexByName(document.requests),
    ...document.accounts && { accounts: indexByName(document.accounts) },
  } as KeyedDocument;
}

/**
 * Converts a keyed document back to one with lists in canonical order.
 *
 * @param keyed - The keyed form
 * @returns The document, not yet validated
 *
 * @example
 * const document = fromKeyedDocument(toKeyedDocument(configuration));
 */
export function fromKeyedDocument(keyed: KeyedDocument): unknown {
  return {
    ...keyed,
    services: toSortedList(keyed.services),
    requests: toSortedList(keyed.requests),
    ...keyed.accounts && { accounts: toSortedList(keyed.accounts) },
  };
}

function indexByName(entries: readonly NamedEntry[]): EntriesByName {
  return Object.fromEntries(
    entries.map((entry) => [createKey(entry.name), entry]),
  );
}

/** Marks names of properties that every object has: the patching library drops or misreads them. */
function createKey(name: string): string {
  return name in {} || name === "prototype" ? `${name}${KEY_MARK}` : name;
}

/** Sorts by name, as canonicalizeNamedLists does, since the key may be marked. */
function toSortedList(entries: EntriesByName | undefined): NamedEntry[] {
  return Object.values(entries ?? {}).sort((left, right) =>
    left.name < right.name ? -1 : Number(left.name > right.name)
  );
}
