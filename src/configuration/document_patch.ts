/**
 * Creates and applies JSON merge patches between documents in keyed form.
 */

import mergePatch from "json-merge-patch";
import { fromKeyedDocument, toKeyedDocument } from "./keyed_document.ts";
import type { KeyedDocument, NamedLists } from "./keyed_document.ts";

/** A JSON merge patch of a keyed document. */
export type DocumentPatch = Readonly<Record<string, unknown>>;

/** Keys of the maps with many entries, of which a patch changes only a few. */
const ENTRY_MAPS = ["services", "requests", "accounts"] as const;

const EMPTY_DOCUMENT: NamedLists = { services: [], requests: [] };

/**
 * Creates the patch that transforms one document into another.
 *
 * @param before - The original document; null is treated as empty
 * @param after - The changed document; null is treated as empty
 * @returns The patch; empty if the documents are equal
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
 * Applies a patch; the caller must validate the result.
 *
 * @param before - The document that the patch was created from
 * @param patch - The patch to apply
 * @returns The patched document, with its lists in canonical order
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

/** Copies the parts that the patch changes, because the library mutates its target. */
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
    const entries = (copy[name] ?? {}) as Record<string, unknown>;
    for (const key of Object.keys(patch[name] ?? {})) {
      if (Object.hasOwn(entries, key)) {
        entries[key] = structuredClone(entries[key]);
      }
    }
  }
  return copy as KeyedDocument;
}
