/**
 * Validation of configuration documents.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type { Configuration } from "../generated/types.ts";
import { validateConfiguration } from "../generated/validators.ts";
import { describeSchemaErrors } from "./describe_schema_errors.ts";
import { findInconsistencies } from "./find_inconsistencies.ts";

/**
 * Checks a document's shape and that its parts agree with each other.
 *
 * @param value - The document
 * @returns The configuration, or an error that names every finding
 *
 * @example
 * const checked = validateConfigurationDocument(JSON.parse(text));
 */
export function validateConfigurationDocument(
  value: unknown,
): Result<Configuration, VError> {
  const findings = validateConfiguration(value)
    ? findInconsistencies(value)
    : describeSchemaErrors("", validateConfiguration.errors);
  if (findings.length > 0) {
    return err(
      new VError(
        { name: "ConfigurationInvalid", info: { findings } },
        "%s",
        findings.join("; "),
      ),
    );
  }
  return ok(value as Configuration);
}
