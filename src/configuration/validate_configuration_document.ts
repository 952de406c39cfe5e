/**
 * Validation of configuration documents before they are written.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import type { Configuration } from "../generated/types.ts";
import { validateConfiguration } from "../generated/validators.ts";
import { createConfigurationError } from "./create_configuration_error.ts";
import { describeSchemaErrors } from "./describe_schema_errors.ts";
import { findBlockingErrors } from "./find_blocking_errors.ts";
import { findInconsistencies } from "./find_inconsistencies.ts";
import { REFUSAL_REASONS } from "./refusal_reasons.ts";
import type { ConfigurationFinding } from "./refusal_reasons.ts";

/**
 * Validates a document that is to be written, against the schema and for
 * consistency. A document that another party has already accepted is read with
 * {@link readConfigurationDocument} instead.
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
  const findings: ConfigurationFinding[] = validateConfiguration(value)
    ? [
      ...findBlockingErrors(value),
      ...findInconsistencies(value).map((message) => ({
        ...{ reason: REFUSAL_REASONS.inconsistent, entries: [], message },
      })),
    ]
    : describeSchemaErrors("", validateConfiguration.errors).map((
      message,
    ) => ({ reason: REFUSAL_REASONS.unreadable, entries: [], message }));
  return findings.length > 0
    ? err(createConfigurationError(findings, true))
    : ok(value as Configuration);
}
