/**
 * Validates configuration documents against the schema and for consistency.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type { Configuration } from "../generated/types.ts";
import { validateConfiguration } from "../generated/validators.ts";
import { describeSchemaErrors } from "./describe_schema_errors.ts";
import { findInconsistencies } from "./find_inconsistencies.ts";

/**
 * Validates a document against the schema and checks its consistency.
 *
 * @param value - The parsed document
 * @returns The configuration, or `ConfigurationInvalid` with every finding
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
