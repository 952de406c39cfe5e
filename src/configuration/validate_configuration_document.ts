/**
 * Validation of configuration documents.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type { Configuration } from "../generated/types.ts";
import { validateConfiguration } from "../generated/validators.ts";

/**
 * Checks a document's shape and that the names in it refer to something.
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
  if (!validateConfiguration(value)) {
    const finding = validateConfiguration.errors?.[0];
    return err(
      new VError(
        { name: "ConfigurationInvalid" },
        "%s %s",
        finding?.instancePath || "/",
        finding?.message ?? "",
      ),
    );
  }
  const findings = [
    ...findDuplicates("service", value.services.map(({ name }) => name)),
    ...findDuplicates("class", value.classes.map(({ name }) => name)),
    ...findDuplicates("request", value.requests.map(({ name }) => name)),
    ...findDuplicates(
      "failure domain",
      value.regions.flatMap(({ failureDomains }) => failureDomains),
    ),
    ...findUnknownNames(value),
  ];
  if (findings.length > 0) {
    return err(
      new VError(
        { name: "ConfigurationInvalid", info: { findings } },
        "%s",
        findings.join("; "),
      ),
    );
  }
  return ok(value);
}

function findDuplicates(what: string, names: readonly string[]): string[] {
  const repeated = names.filter((name, index) => names.indexOf(name) !== index);
  return [...new Set(repeated)].map((name) =>
    `${what} ${name} is listed twice`
  );
}

function findUnknownNames(configuration: Configuration): string[] {
  const services = new Set(configuration.services.map(({ name }) => name));
  const classes = new Set(configuration.classes.map(({ name }) => name));
  const calls = configuration.services.flatMap(({ name, calls }) =>
    calls.filter((called) => !services.has(called)).map((called) =>
      `service ${name} calls unknown service ${called}`
    )
  );
  const requests = configuration.requests.flatMap((
    { name, service, className, reaches },
  ) => [
    ...[service, ...reaches].filter((reached) => !services.has(reached))
      .map((reached) => `request ${name} names unknown service ${reached}`),
    ...classes.has(className)
      ? []
      : [`request ${name} names unknown class ${className}`],
  ]);
  return [...calls, ...requests];
}
