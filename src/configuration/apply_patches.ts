/**
 * Application of one accepted change.
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
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

/**
 * Applies patches to a configuration and checks the result by its digest.
 *
 * @param configuration - The configuration that the first patch was made for
 * @param patches - Patches in order
 * @param digest - Digest of the result
 * @returns The valid result, or an error where it is another or invalid
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
  return validateConfigurationDocument(value).andThen((next) =>
    digestConfiguration(next) === digest ? ok(next) : err(
      new VError(
        { name: "ConfigurationDigestMismatch" },
        "the patched configuration is not the accepted one",
      ),
    )
  );
}

/**
 * Applies patches to answers.
 *
 * @param answers - The answers that the first patch was made for
 * @param patches - Patches in order
 * @returns The answers; null where there are none
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
