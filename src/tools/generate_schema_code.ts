/**
 * Generates types and validators from the JSON Schemas in `schema/`.
 *
 * With `--check`, nothing is written and the command fails if the committed code
 * differs from the generated code.
 */

import { readdir, readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { Ajv } from "ajv";
import standaloneCode from "ajv/dist/standalone/index.js";
import { build } from "esbuild";
import { compile } from "json-schema-to-typescript";
import type { JSONSchema } from "json-schema-to-typescript";

const SCHEMA_FOLDER = "schema";
const OUTPUT_FOLDER = "src/generated";
const GENERATED_BANNER =
  "// Generated from schema/ by `npm run generate`. Do not edit.";
/** Schemas of files written by operators; their validators report all errors instead of the first. */
const OPERATOR_SCHEMAS: ReadonlySet<string> = new Set([
  "answers",
  "configuration",
  "proposal",
]);
/** Schema from which the one for readers of accepted documents is derived. */
const WRITTEN_SCHEMA = "configuration";
/** Keywords that only a writer checks; a reader ignores unknown fields and takes any length. */
const WRITER_KEYWORDS: ReadonlySet<string> = new Set([
  "additionalProperties",
  "enum",
  "maximum",
  "maxItems",
  "maxLength",
  "minItems",
  "pattern",
]);
/** Lists whose lengths a reader checks too, because messages between daemons have a value for each class. */
const BOUNDED_LISTS: ReadonlySet<string> = new Set(["classes"]);
const IPV4 = /^(\d{1,3}\.){3}\d{1,3}$/;

interface NamedSchema {
  readonly name: string;
  readonly schema: JSONSchema & { title: string };
}

async function readSchemas(): Promise<NamedSchema[]> {
  const files = (await readdir(SCHEMA_FOLDER)).filter((file) =>
    file.endsWith(".json")
  ).sort();
  return await Promise.all(files.map(async (file) => ({
    name: file.replace(".json", ""),
    schema: JSON.parse(await readFile(`${SCHEMA_FOLDER}/${file}`, "utf8")),
  })));
}

async function generateTypes(schemas: readonly NamedSchema[]): Promise<string> {
  const definitions = Object.assign(
    {},
    ...schemas.map(({ schema }) => schema.$defs ?? {}),
  );
  for (const { schema } of schemas) {
    const { $defs: _, ...own } = schema;
    definitions[schema.title] = own;
  }
  const merged = JSON.parse(
    JSON.stringify({ $id: "types", title: "AllSchemas", $defs: definitions }),
    (key, value) =>
      key === "$id" && value !== "types"
        ? undefined
        : rewriteReference(key, value, schemas),
  );
  return await compile(merged, "types", {
    additionalProperties: false,
    bannerComment: GENERATED_BANNER,
    unreachableDefinitions: true,
    ignoreMinAndMaxItems: true,
  });
}

/** Derives the schema for readers of accepted documents. */
function relaxSchema({ schema }: NamedSchema): NamedSchema {
  const relaxed = relaxPart(schema, "") as NamedSchema["schema"];
  return {
    name: `readable_${WRITTEN_SCHEMA}`,
    schema: {
      ...relaxed,
      $id: `readable_${WRITTEN_SCHEMA}`,
      title: `Readable${schema.title}`,
    },
  };
}

function relaxPart(part: unknown, name: string): unknown {
  if (typeof part !== "object" || part === null || Array.isArray(part)) {
    return part;
  }
  const isBounded = BOUNDED_LISTS.has(name);
  return Object.fromEntries(
    Object.entries(part)
      .filter(([key]) => isBounded || !WRITER_KEYWORDS.has(key))
      .map(([key, value]) => [key, relaxPart(value, key)]),
  );
}

function rewriteReference(
  key: string,
  value: unknown,
  schemas: readonly NamedSchema[],
): unknown {
  if (key !== "$ref" || typeof value !== "string" || value.startsWith("#")) {
    return value;
  }
  const [file, definition] = value.split("#");
  if (definition !== undefined) {
    return `#${definition}`;
  }
  const target = schemas.find(({ name }) => name === file);
  return target ? `#/$defs/${target.schema.title}` : value;
}

async function generateValidatorCode(
  schemas: readonly NamedSchema[],
  allErrors: boolean,
): Promise<string> {
  const ajv = new Ajv({
    allErrors,
    discriminator: true,
    code: { source: true, lines: true },
    schemas: schemas.map(({ schema }) => schema),
    formats: { ipv4: IPV4 },
    keywords: ["tsType"],
    allowUnionTypes: true,
  });
  const names = Object.fromEntries(
    schemas.filter(({ name }) => OPERATOR_SCHEMAS.has(name) === allErrors).map((
      { name, schema },
    ) => [`validate${schema.title}`, name]),
  );
  const written = schemas.find(({ name }) => name === WRITTEN_SCHEMA);
  if (allErrors && written) {
    const { name, schema } = relaxSchema(written);
    ajv.addSchema(schema);
    names[`validate${schema.title}`] = name;
  }
  const source = standaloneCode.default(ajv, names);
  const bundled = await build({
    stdin: { contents: source, resolveDir: "." },
    bundle: true,
    format: "cjs",
    write: false,
    platform: "neutral",
    mainFields: ["main"],
  });
  const code = bundled.outputFiles[0]?.text ?? "";
  return `${GENERATED_BANNER}\n${skipCounting(code)}`;
}

/**
 * Lets a validator count the characters of a text only if it has more UTF-16 units
 * than the characters allowed. Messages are validated for each call, and a text
 * never has fewer units than characters.
 */
function skipCounting(code: string): string {
  return code
    .replace(
      /if \((func\d+)\((data\d*)\) > (\d+)\)/g,
      "if ($2.length > $3 && $1($2) > $3)",
    )
    .replace(/if \(func\d+\((data\d*)\) < 1\)/g, "if ($1.length < 1)");
}

function generateValidatorModule(schemas: readonly NamedSchema[]): string {
  const titles = schemas.map(({ schema }) => schema.title);
  return [
    GENERATED_BANNER,
    `import type { ErrorObject } from "ajv";`,
    `import messageCode from "./validator_code.cjs";`,
    `import operatorCode from "./operator_validator_code.cjs";`,
    `import type { ${titles.join(", ")} } from "./types.ts";`,
    "",
    "/** A generated validator; `errors` holds the findings of its last call. */",
    "export interface Validator<T> {",
    "  (value: unknown): value is T;",
    "  errors?: ErrorObject[] | null;",
    "}",
    "",
    "const validators = { ...messageCode, ...operatorCode } as unknown as Record<string, Validator<unknown>>;",
    ...titles.map((title) =>
      `export const validate${title} = validators.validate${title} as Validator<${title}>;`
    ),
    "/** Checks only what a reader of accepted configurations relies on. */",
    "export const validateReadableConfiguration = validators.validateReadableConfiguration as Validator<Configuration>;",
    "",
  ].join("\n");
}

function generateSettingDefinitions(schemas: readonly NamedSchema[]): string {
  const settings = schemas.find(({ name }) => name === "settings");
  const definitions = Object.entries(settings?.schema.properties ?? {}).map((
    [name, property],
  ) => ({
    name,
    isInteger: property.type === "integer",
    description: property.description ?? "",
    default: property.default,
    allowed: property.enum,
  }));
  return [
    GENERATED_BANNER,
    `import type { DaemonSettings } from "./types.ts";`,
    "",
    "/** One setting of the daemon. */",
    "export interface SettingDefinition {",
    "  readonly name: keyof DaemonSettings;",
    "  readonly isInteger: boolean;",
    "  readonly description: string;",
    "  readonly default?: string | number;",
    "  readonly allowed?: readonly string[];",
    "}",
    "",
    `export const SETTING_DEFINITIONS: readonly SettingDefinition[] = ${
      JSON.stringify(definitions, null, 2)
    };`,
    "",
  ].join("\n");
}

async function main(): Promise<void> {
  const schemas = await readSchemas();
  const outputs = new Map([
    ["types.ts", await generateTypes(schemas)],
    ["validator_code.cjs", await generateValidatorCode(schemas, false)],
    ["operator_validator_code.cjs", await generateValidatorCode(schemas, true)],
    ["validators.ts", generateValidatorModule(schemas)],
    ["setting_definitions.ts", generateSettingDefinitions(schemas)],
  ]);
  const isCheck = process.argv.includes("--check");
  for (const [file, text] of outputs) {
    const path = `${OUTPUT_FOLDER}/${file}`;
    const committed = await readFile(path, "utf8").catch(() => "");
    if (committed === text) {
      continue;
    }
    if (isCheck) {
      console.error(`${path} is not up to date: run npm run generate`);
      process.exitCode = 1;
      continue;
    }
    await writeFile(path, text);
    console.log(`wrote ${path}`);
  }
}

await main();
