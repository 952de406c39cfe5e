/**
 * Formats the errors of the generated validators.
 */

import type { ErrorObject } from "ajv";

/**
 * Formats the errors of a validator as one line each.
 *
 * @param subject - Name of the document, prefixed to the path in the document
 * @param errors - Errors of the validator
 * @returns One line per distinct error
 *
 * @example
 * describeSchemaErrors("answers", validateQuestionnaireAnswers.errors);
 */
export function describeSchemaErrors(
  subject: string,
  errors: readonly ErrorObject[] | null | undefined,
): string[] {
  const lines = (errors ?? []).map((error) =>
    `${subject}${error.instancePath || "/"} ${error.message ?? "is invalid"}${
      describeParams(error)
    }`
  );
  return [...new Set(lines)];
}

function describeParams({ params }: ErrorObject): string {
  const detail = params.additionalProperty ?? params.allowedValues;
  return detail === undefined ? "" : `: ${[detail].flat().join(", ")}`;
}
