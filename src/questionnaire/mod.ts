/**
 * Questionnaire for operators; its answers generate and adjust configurations.
 */

export { askQuestionnaire } from "./ask_questionnaire.ts";
export { generateConfiguration } from "./generate_configuration.ts";
export { LineInput } from "./line_input.ts";
export { findValue } from "./find_value.ts";
export { summarizePatch } from "./patch_changes.ts";
export type { PatchChange } from "./patch_changes.ts";
export { mergeAnswers, PREFERENCES } from "./merge_answers.ts";
export type {
  MergeConflict,
  MergeResult,
  Preference,
} from "./merge_answers.ts";
export { validateAnswers } from "./validate_answers.ts";
