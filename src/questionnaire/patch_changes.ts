/**
 * Conversion between merge patches and lists of changes.
 */

import type { DocumentPatch } from "../configuration/mod.ts";
import { findValue } from "./find_value.ts";

/** A changed value. */
export interface PatchChange {
  /** Keys that lead to the value; list entries are identified by their name. */
  readonly path: readonly string[];
  /** The new value; null if it is removed. */
  readonly value: unknown;
}

/**
 * Lists the changes in a patch, one for each value that it sets or removes.
 *
 * @param patch - A merge patch
 * @returns Changes in the order of the patch
 *
 * @example
 * listPatchChanges({ requests: { a: { deadlineMs: 5 } } });
 * // [{ path: ["requests", "a", "deadlineMs"], value: 5 }]
 */
export function listPatchChanges(patch: DocumentPatch): PatchChange[] {
  return Object.entries(patch).flatMap(([key, value]) =>
    isNested(value)
      ? listPatchChanges(value).map((change) => ({
        ...change,
        path: [key, ...change.path],
      }))
      : [{ path: [key], value }]
  );
}

/**
 * Lists the changes that a patch makes to a document. An added entry is one change,
 * including all its nested values.
 *
 * @param document - The document that the patch applies to
 * @param patch - A merge patch
 * @returns Changes in the order of the patch
 *
 * @example
 * summarizePatch(configuration, { requests: { added: { deadlineMs: 5 } } });
 * // [{ path: ["requests", "added"], value: { deadlineMs: 5 } }]
 */
export function summarizePatch(
  document: unknown,
  patch: DocumentPatch,
): PatchChange[] {
  const changes = new Map<string, PatchChange>();
  for (const change of listPatchChanges(patch)) {
    const length = countExistingKeys(document, change.path) + 1;
    const path = change.path.slice(0, length);
    changes.set(path.join("."), { path, value: findValue(patch, path) });
  }
  return [...changes.values()];
}

function countExistingKeys(document: unknown, path: readonly string[]): number {
  const missingIndex = path.findIndex((_, index) =>
    findValue(document, path.slice(0, index + 1)) === undefined
  );
  return missingIndex < 0 ? path.length : missingIndex;
}

/**
 * Creates a patch from a list of changes; the inverse of {@link listPatchChanges}.
 *
 * @param changes - The changes
 * @returns The patch
 *
 * @example
 * createPatch(listPatchChanges(patch)); // equals patch
 */
export function createPatch(changes: readonly PatchChange[]): DocumentPatch {
  const patch: Record<string, unknown> = {};
  for (const { path, value } of changes) {
    let target = patch;
    for (const key of path.slice(0, -1)) {
      target[key] ??= {};
      target = target[key] as Record<string, unknown>;
    }
    target[path.at(-1) ?? ""] = value;
  }
  return patch;
}

function isNested(value: unknown): value is DocumentPatch {
  return value !== null && typeof value === "object" &&
    !Array.isArray(value) && Object.keys(value).length > 0;
}
