/**
 * Files with configurations and answers.
 */

import { readFile } from "node:fs/promises";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import {
  describeSchemaErrors,
  validateConfigurationDocument,
} from "../configuration/mod.ts";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import { validateProposalFile } from "../generated/validators.ts";
import { validateAnswers } from "../questionnaire/mod.ts";

/** What a file proposes. */
export interface ProposedDocument {
  readonly configuration: Configuration;
  /** Answers that gave it; undefined in a file that holds a configuration alone. */
  readonly answers: QuestionnaireAnswers | undefined;
  /** Version that it changes, where the file says so. */
  readonly baseVersion: number | undefined;
}

/**
 * Reads a JSON file.
 *
 * @param path - The file
 * @returns Its content, or an error that names the file
 *
 * @example
 * const answers = await readJsonFile("answers.json");
 */
export async function readJsonFile(
  path: string,
): Promise<Result<unknown, VError>> {
  try {
    return ok(JSON.parse(await readFile(path, "utf8")));
  } catch (cause) {
    return err(
      new VError(
        { name: "FileUnreadable", cause: cause as Error },
        "%s cannot be read as JSON",
        path,
      ),
    );
  }
}

/**
 * Reads a file that holds a configuration, or a proposal of `init`.
 *
 * @param path - The file
 * @returns What it proposes, or an error with every finding
 *
 * @example
 * const proposed = await readProposedDocument("configuration.json");
 */
export async function readProposedDocument(
  path: string,
): Promise<Result<ProposedDocument, VError>> {
  return (await readJsonFile(path)).andThen(parseProposedDocument);
}

function parseProposedDocument(
  value: unknown,
): Result<ProposedDocument, VError> {
  if (!isProposal(value)) {
    return validateConfigurationDocument(value).map((configuration) => ({
      configuration,
      answers: undefined,
      baseVersion: undefined,
    }));
  }
  if (!validateProposalFile(value)) {
    const findings = describeSchemaErrors("", validateProposalFile.errors);
    return err(
      new VError(
        { name: "ProposalInvalid", info: { findings } },
        "%s",
        findings.join("; "),
      ),
    );
  }
  const { baseVersion } = value;
  return validateConfigurationDocument(value.configuration).andThen(
    (configuration) =>
      validateAnswers(value.answers).map((answers) => ({
        configuration,
        answers,
        baseVersion,
      })),
  );
}

function isProposal(value: unknown): boolean {
  return typeof value === "object" && value !== null &&
    "configuration" in value;
}
