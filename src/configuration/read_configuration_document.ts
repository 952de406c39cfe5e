/**
 * Reading of configuration documents that another party has already accepted:
 * from the object API, from a peer, or from the platform's operator.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type VError from "verror";
import type { Configuration } from "../generated/types.ts";
import {
  validateConfiguration,
  validateReadableConfiguration,
} from "../generated/validators.ts";
import { createConfigurationError } from "./create_configuration_error.ts";
import { describeSchemaErrors } from "./describe_schema_errors.ts";
import { findBlockingErrors } from "./find_blocking_errors.ts";
import { findInconsistencies } from "./find_inconsistencies.ts";
import { REFUSAL_REASONS } from "./refusal_reasons.ts";

/**
 * Reads an accepted document. It is refused only if it cannot be read or must not
 * be active; {@link listReadingWarnings} says what else a writer would refuse.
 *
 * @param value - The parsed document
 * @returns The configuration, or `ConfigurationInvalid` with the first findings
 *
 * @example
 * const accepted = readConfigurationDocument(state.configuration);
 */
export function readConfigurationDocument(
  value: unknown,
): Result<Configuration, VError> {
  const findings = validateReadableConfiguration(value)
    ? findBlockingErrors(value)
    : describeSchemaErrors("", validateReadableConfiguration.errors).map((
      message,
    ) => ({ reason: REFUSAL_REASONS.unreadable, entries: [], message }));
  return findings.length > 0
    ? err(createConfigurationError(findings))
    : ok(value as Configuration);
}

/**
 * Lists what a writer would refuse in a document that a reader takes.
 *
 * @param configuration - Result of {@link readConfigurationDocument}
 * @returns One message per finding
 *
 * @example
 * listReadingWarnings(configuration); // ["/requests/3 must NOT have additional properties: shade"]
 */
export function listReadingWarnings(configuration: Configuration): string[] {
  const schemaErrors = validateConfiguration(configuration)
    ? []
    : describeSchemaErrors("", validateConfiguration.errors);
  return [...schemaErrors, ...findInconsistencies(configuration)];
}
