/**
 * Findings of the generated validators, in words.
 */

import type { ErrorObject } from "ajv";

/**
 * Describes each finding of a validator.
 *
 * @param subject - Name of the document, put before the place
 * @param errors - The validator's findings
 * @returns One line for each finding
 *
 * @example
 * describeSchemaFindings("answers", validateQuestionnaireAnswers.errors);
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
