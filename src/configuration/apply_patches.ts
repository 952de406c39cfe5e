/**
 * Applies the patches of accepted changes to a configuration and its answers.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import { validateQuestionnaireAnswers } from "../generated/validators.ts";
import { digestConfiguration } from "./digest_configuration.ts";
import { applyDocumentPatch } from "./document_patch.ts";
import type { DocumentPatch } from "./document_patch.ts";
import { readConfigurationDocument } from "./read_configuration_document.ts";

/**
 * Applies patches to a configuration and verifies the digest of the result.
 *
 * @param configuration - The configuration that the first patch was created from
 * @param patches - Patches in order
 * @param digest - Expected digest of the result
 * @returns The patched configuration, `ConfigurationInvalid` if it fails validation,
 *   or `ConfigurationDigestMismatch` if its digest differs
 *
 * @example
 * const next = applyConfigurationPatches(current, [patch], change.digest);
 */
export function applyConfigurationPatches(
  configuration: Configuration,
  patches: readonly DocumentPatch[],
  digest: string,
): Result<Configuration, VError> {
  const value = patches.reduce<unknown>(
    (document, patch) => applyDocumentPatch(document as Configuration, patch),
    configuration,
  );
  return readConfigurationDocument(value).andThen((next) =>
    digestConfiguration(next) === digest ? ok(next) : err(
      new VError(
        { name: "ConfigurationDigestMismatch" },
        "the digest of the patched configuration does not match the accepted one",
      ),
    )
  );
}

/**
 * Applies patches to questionnaire answers.
 *
 * @param answers - The answers that the first patch was created from; null if there were none
 * @param patches - Patches in order
 * @returns The patched answers, or null if the result is not valid answers
 *
 * @example
 * const next = applyAnswersPatches(null, [patch]);
 */
export function applyAnswersPatches(
  answers: QuestionnaireAnswers | null,
  patches: readonly DocumentPatch[],
): QuestionnaireAnswers | null {
  const value = patches.reduce<unknown>(
    (document, patch) =>
      applyDocumentPatch(document as QuestionnaireAnswers | null, patch),
    answers,
  );
  return validateQuestionnaireAnswers(value) ? value : null;
}
