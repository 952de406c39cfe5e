/**
 * Adjustment of a configuration by new answers.
 *
 * Since the answers are kept, whatever differs from what they give was changed
 * by hand. Such changes are carried over; where new answers change the same
 * value otherwise, the operator has to choose.
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

/** Whose value stands where answers and hand changes disagree. */
export const PREFERENCES = { answers: "answers", hand: "hand" } as const;

/** One of {@link PREFERENCES}. */
export type Preference = (typeof PREFERENCES)[keyof typeof PREFERENCES];

/** A value that was changed by hand and by new answers. */
export interface MergeConflict {
  readonly path: readonly string[];
  readonly byHand: unknown;
  readonly byAnswers: unknown;
}

/** A configuration adjusted by answers. */
export interface MergeResult {
  /** The adjusted document, not yet validated. */
  readonly document: unknown;
  /** Hand changes that it carries over. */
  readonly manualChanges: readonly PatchChange[];
  readonly conflicts: readonly MergeConflict[];
}

/**
 * Adjusts a configuration by new answers and keeps what was changed by hand.
 *
 * @param current - What is accepted, with the answers that gave it; null: nothing yet
 * @param answers - Valid new answers
 * @param preference - Whose value stands where both changed it
 * @returns The adjusted document with hand changes and conflicts
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

/** Without kept answers everything in force counts as made by hand. */
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
  return byHand.flatMap((hand) =>
    byAnswers.filter((answer) =>
      overlaps(hand.path, answer.path) && !isSameChange(hand, answer)
    ).map((answer) => ({
      path: hand.path.length > answer.path.length ? hand.path : answer.path,
      byHand: hand.value,
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
