/**
 * Differences between two documents, as JSON merge patches of the keyed form.
 */

import mergePatch from "json-merge-patch";
import { fromKeyedDocument, toKeyedDocument } from "./keyed_document.ts";
import type { KeyedDocument, NamedLists } from "./keyed_document.ts";

/** A JSON merge patch of a keyed document. */
export type DocumentPatch = Readonly<Record<string, unknown>>;

/** Keys whose values are long maps; a patch touches a few entries of them. */
const ENTRY_MAPS = ["services", "requests"] as const;

const EMPTY_DOCUMENT: NamedLists = { services: [], requests: [] };

/**
 * Gives the patch that turns one document into another.
 *
 * @param before - The document that the patch applies to
 * @param after - The document that the patch gives
 * @returns The patch; empty where the two are equal
 *
 * @example
 * createDocumentPatch(older, newer); // { requests: { "fetch-round": { deadlineMs: 800 } } }
 */
export function createDocumentPatch(
  before: NamedLists | null,
  after: NamedLists | null,
): DocumentPatch {
  const patch = mergePatch.generate(
    toKeyedDocument(before ?? EMPTY_DOCUMENT) as unknown,
    toKeyedDocument(after ?? EMPTY_DOCUMENT) as unknown,
  );
  return (patch ?? {}) as DocumentPatch;
}

/**
 * Applies a patch; the result has yet to be validated.
 *
 * @param before - The document that the patch was made for
 * @param patch - The patch
 * @returns The changed document, with its lists in canonical order
 *
 * @example
 * const next = applyDocumentPatch(older, patch);
 */
export function applyDocumentPatch(
  before: NamedLists | null,
  patch: DocumentPatch,
): unknown {
  const target = copyPatchedParts(
    toKeyedDocument(before ?? EMPTY_DOCUMENT),
    patch,
  );
  return fromKeyedDocument(
    mergePatch.apply(target as unknown, patch as unknown) as KeyedDocument,
  );
}

/** The library changes its target, so whatever the patch touches is copied. */
function copyPatchedParts(
  document: KeyedDocument,
  patch: DocumentPatch,
): KeyedDocument {
  const copy: Record<string, unknown> = { ...document };
  for (const key of Object.keys(patch)) {
    if (!ENTRY_MAPS.some((name) => name === key) && key in copy) {
      copy[key] = structuredClone(copy[key]);
    }
  }
  for (const name of ENTRY_MAPS) {
    const entries = copy[name] as Record<string, unknown>;
    for (const key of Object.keys(patch[name] ?? {})) {
      if (Object.hasOwn(entries, key)) {
        entries[key] = structuredClone(entries[key]);
      }
    }
  }
  return copy as KeyedDocument;
}
