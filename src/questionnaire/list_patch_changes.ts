/**
 * The single changes in a patch.
 */

import type { DocumentPatch } from "../configuration/mod.ts";

/** One changed value. */
export interface PatchChange {
  /** Keys that lead to the value. */
  readonly path: readonly string[];
  /** The new value; null where it is removed. */
  readonly value: unknown;
}

/**
 * Lists the changes in a patch, one for each value that is set or removed.
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
 * Puts changes together to a patch.
 *
 * @param changes - What {@link listPatchChanges} gave
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
