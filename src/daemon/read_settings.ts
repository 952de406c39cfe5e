/**
 * Reading of the daemon's settings from flags and environment variables.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import { SETTING_DEFINITIONS } from "../generated/setting_definitions.ts";
import type { SettingDefinition } from "../generated/setting_definitions.ts";
import type { DaemonSettings } from "../generated/types.ts";
import { validateDaemonSettings } from "../generated/validators.ts";

/** Sources of settings; flags take precedence over the environment. */
export interface SettingSources {
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads and validates all settings.
 *
 * @param sources - Flags and environment variables
 * @returns The settings, or a `SettingsInvalid` error that lists every invalid setting
 *
 * @example
 * const settings = readSettings({ flags, environment: process.env });
 */
export function readSettings(
  sources: SettingSources,
): Result<DaemonSettings, VError> {
  const values: Record<string, unknown> = {};
  const problems: string[] = [];
  for (const definition of SETTING_DEFINITIONS) {
    const value = readSetting(definition, sources);
    const problem = validateSetting(
      { ...values, [definition.name]: value },
      definition,
    );
    values[definition.name] = value;
    if (problem) {
      problems.push(problem);
    }
  }
  problems.push(...listUnknownVariables(sources.environment));
  if (problems.length === 0 && validateDaemonSettings(values)) {
    return ok(values);
  }
  return err(
    new VError(
      { name: "SettingsInvalid", info: { problems } },
      "%s",
      problems.join("\n"),
    ),
  );
}

/**
 * Converts the name of a setting to that of its environment variable.
 *
 * @param name - Name of the setting
 * @returns Name of the environment variable
 *
 * @example
 * toVariableName("callerPort"); // CELERYHOLLOW_CALLER_PORT
 */
export function toVariableName(name: string): string {
  return `${VARIABLE_PREFIX}${
    name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()
  }`;
}

/**
 * Converts the name of a setting to its command-line flag.
 *
 * @param name - Name of the setting
 * @returns The flag
 *
 * @example
 * toFlagName("callerPort"); // --caller-port
 */
export function toFlagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

const VARIABLE_PREFIX = "CELERYHOLLOW_";

/** Variables that other programs of this project use. */
const OTHER_VARIABLES: ReadonlySet<string> = new Set([
  "CELERYHOLLOW_ADMIN_URL",
  "CELERYHOLLOW_ADMIN_URLS",
]);

function readSetting(
  definition: SettingDefinition,
  sources: SettingSources,
): unknown {
  const { name, isInteger } = definition;
  const text = sources.flags[name] ?? sources.environment[toVariableName(name)];
  if (text === undefined) {
    return definition.default;
  }
  return isInteger && /^\d+$/.test(text) ? Number(text) : text;
}

function validateSetting(
  values: Record<string, unknown>,
  { name }: SettingDefinition,
): string | undefined {
  const label = `${toFlagName(name)} (${toVariableName(name)})`;
  if (values[name] === undefined) {
    return `${label} is required`;
  }
  const candidate = { ...SAMPLE_SETTINGS, [name]: values[name] };
  if (validateDaemonSettings(candidate)) {
    return undefined;
  }
  return `${label} ${
    validateDaemonSettings.errors?.[0]?.message ?? "is invalid"
  }`;
}

function listUnknownVariables(
  environment: SettingSources["environment"],
): string[] {
  const known = new Set(
    SETTING_DEFINITIONS.map(({ name }) => toVariableName(name)),
  );
  return Object.keys(environment)
    .filter((name) =>
      name.startsWith(VARIABLE_PREFIX) && !known.has(name) &&
      !OTHER_VARIABLES.has(name)
    )
    .map((name) => `${name} is not a setting`);
}

/** Valid settings in which one value at a time is replaced to validate it on its own. */
const SAMPLE_SETTINGS: DaemonSettings = {
  address: "127.0.0.1",
  region: "region",
  failureDomain: "domain",
  callerPort: 1,
  backendPort: 1,
  peerPort: 1,
  adminPort: 1,
  storeUrl: "http://127.0.0.1",
  fleetToken: "placeholder-token",
  protection: "on",
  seeds: "",
  logLevel: "info",
  randomSeed: 0,
  drainTimeoutMs: 0,
  leaveNoticeMs: 0,
  maxBodyBytes: 1024,
};
