/**
 * Validation of answers to the questionnaire.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import {
  describeSchemaErrors,
  validateConfigurationDocument,
} from "../configuration/mod.ts";
import type { QuestionnaireAnswers } from "../generated/types.ts";
import { validateQuestionnaireAnswers } from "../generated/validators.ts";
import { generateConfiguration } from "./generate_configuration.ts";

/**
 * Validates answers against their schema, checks them for inconsistencies and
 * validates the configuration generated from them.
 *
 * @param value - The answers
 * @returns The answers, or an `AnswersInvalid` error with all findings
 *
 * @example
 * const answers = validateAnswers(JSON.parse(text));
 */
export function validateAnswers(
  value: unknown,
): Result<QuestionnaireAnswers, VError> {
  const findings = validateQuestionnaireAnswers(value)
    ? [...findInconsistencies(value), ...findConfigurationErrors(value)]
    : describeSchemaErrors("", validateQuestionnaireAnswers.errors);
  if (findings.length > 0) {
    return err(
      new VError(
        { name: "AnswersInvalid", info: { findings } },
        "%s",
        findings.join("; "),
      ),
    );
  }
  return ok(value as QuestionnaireAnswers);
}

function findConfigurationErrors(answers: QuestionnaireAnswers): string[] {
  const checked = validateConfigurationDocument(generateConfiguration(answers));
  return checked.isOk() ? [] : VError.info(checked.error).findings;
}

function findInconsistencies(
  { classes, importantClasses, requests, services }: QuestionnaireAnswers,
): string[] {
  const calledServices = new Set([
    ...requests.flatMap(({ service, passesThrough }) => [
      service,
      ...passesThrough,
    ]),
    ...services.flatMap(({ calls }) => calls),
  ]);
  const usedClasses = new Set(requests.map(({ className }) => className));
  return [
    ...services.filter(({ connections, slots }) => connections < slots).map((
      { name, connections, slots },
    ) =>
      `service ${name} has ${slots} slots but accepts only ${connections} connections`
    ),
    ...services.filter(({ name }) => !calledServices.has(name)).map((
      { name },
    ) => `service ${name} is not called by any service or request`),
    ...importantClasses.filter((name) => !classes.includes(name)).map((name) =>
      `important class ${name} is not among the classes`
    ),
    ...classes.filter((name) => !usedClasses.has(name)).map((name) =>
      `class ${name} has no request`
    ),
  ];
}
