/**
 * Three-way merge of new answers into a manually changed configuration.
 *
 * The answers are stored with the configuration, so every difference from the
 * configuration they generate is a manual change. Manual changes are kept; if new
 * answers change the same value differently, the operator has to choose.
 */

import {
  applyDocumentPatch,
  createDocumentPatch,
} from "../configuration/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import { generateConfiguration } from "./generate_configuration.ts";
import { findValue } from "./find_value.ts";
import {
  createPatch,
  listPatchChanges,
  summarizePatch,
} from "./patch_changes.ts";
import type { PatchChange } from "./patch_changes.ts";

/** Value to use if answers and manual changes conflict. */
export const PREFERENCES = { answers: "answers", hand: "hand" } as const;

/** One of {@link PREFERENCES}. */
export type Preference = (typeof PREFERENCES)[keyof typeof PREFERENCES];

/** A value that was changed differently by a manual change and by new answers. */
export interface MergeConflict {
  readonly path: readonly string[];
  /** Manually set value; null if it was removed. */
  readonly byHand: unknown;
  /** Value generated from the new answers; null if there is none. */
  readonly byAnswers: unknown;
}

/** A configuration merged with new answers. */
export interface MergeResult {
  /** The merged document, not yet validated. */
  readonly document: unknown;
  /** Manual changes that were kept. */
  readonly manualChanges: readonly PatchChange[];
  readonly conflicts: readonly MergeConflict[];
}

/**
 * Merges new answers into the accepted configuration and keeps manual changes.
 *
 * @param current - Accepted configuration and the answers it was generated from; null
 *   if there is none
 * @param answers - Valid new answers
 * @param preference - Value to use for conflicts
 * @returns The merged document, the manual changes kept and the conflicts
 *
 * @example
 * const { document, conflicts } = mergeAnswers(state, answers, PREFERENCES.answers);
 */
export function mergeAnswers(
  current: ConfigurationState | null,
  answers: QuestionnaireAnswers,
  preference: Preference,
): MergeResult {
  const generated = generateConfiguration(answers);
  if (!current) {
    return { document: generated, manualChanges: [], conflicts: [] };
  }
  const previouslyGenerated = current.answers &&
    generateConfiguration(current.answers);
  if (!previouslyGenerated) {
    return mergeWithoutAnswers(current.configuration, generated, preference);
  }
  const byHand = listPatchChanges(
    createDocumentPatch(previouslyGenerated, current.configuration),
  );
  const byAnswers = listPatchChanges(
    createDocumentPatch(previouslyGenerated, generated),
  );
  const conflicts = findConflicts(byHand, byAnswers);
  if (preference === PREFERENCES.hand) {
    const kept = byAnswers.filter((change) => !isInConflict(change, conflicts));
    const document = applyDocumentPatch(
      current.configuration,
      createPatch(kept),
    );
    return { document, manualChanges: byHand, conflicts };
  }
  const manualChanges = byHand.filter((change) =>
    !isInConflict(change, conflicts)
  );
  const document = applyDocumentPatch(generated, createPatch(manualChanges));
  return { document, manualChanges, conflicts };
}

/** Without stored answers, every difference is a manual change in conflict with the answers. */
function mergeWithoutAnswers(
  current: Configuration,
  generated: Configuration,
  preference: Preference,
): MergeResult {
  const differences = summarizePatch(
    generated,
    createDocumentPatch(generated, current),
  );
  const conflicts = differences.map(({ path, value }) => ({
    path,
    byHand: value,
    byAnswers: findValue(generated, path) ?? null,
  }));
  return preference === PREFERENCES.hand
    ? { document: current, manualChanges: differences, conflicts }
    : { document: generated, manualChanges: [], conflicts };
}

function findConflicts(
  byHand: readonly PatchChange[],
  byAnswers: readonly PatchChange[],
): MergeConflict[] {
  return byHand.flatMap((manual) =>
    byAnswers.filter((answer) =>
      overlaps(manual.path, answer.path) && !isSameChange(manual, answer)
    ).map((answer) => ({
      path: manual.path.length > answer.path.length ? manual.path : answer.path,
      byHand: manual.value,
      byAnswers: answer.value,
    }))
  );
}

function isInConflict(
  { path }: PatchChange,
  conflicts: readonly MergeConflict[],
): boolean {
  return conflicts.some((conflict) => overlaps(conflict.path, path));
}

function overlaps(left: readonly string[], right: readonly string[]): boolean {
  const length = Math.min(left.length, right.length);
  return left.slice(0, length).every((key, index) => key === right[index]);
}

function isSameChange(left: PatchChange, right: PatchChange): boolean {
  return left.path.length === right.path.length &&
    JSON.stringify(left.value) === JSON.stringify(right.value);
}
