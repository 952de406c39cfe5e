/**
 * Bundling of a program into a single executable file.
 */

import { chmod } from "node:fs/promises";
import { build } from "esbuild";

/** A program to bundle. */
export interface BundledProgram {
  /** Path of the compiled entry point. */
  readonly source: string;
  /** Path of the bundle. */
  readonly target: string;
  /** Node.js flags in the shebang line. */
  readonly flags: readonly string[];
  /** Replacement modules by package name. */
  readonly alias?: Readonly<Record<string, string>>;
  /** Module format; `esm` by default. */
  readonly format?: "esm" | "cjs";
}

/** Replaces the HTTP client by a module that loads only the parts that the daemon uses. */
export const DAEMON_ALIAS = {
  undici: "./src/tools/undici_client.cjs",
} as const;

const EXECUTABLE_MODE = 0o755;

/** Defines `require`, which bundled CommonJS modules expect. */
const REQUIRE_BANNER =
  `import { createRequire as createRequireHere } from "node:module";
const require = createRequireHere(import.meta.url);`;

/**
 * Bundles a program with its dependencies and makes the bundle executable.
 *
 * @param program - The program to bundle
 *
 * @example
 * await bundleProgram({ source: "build/src/cli/main.js", target: "dist/celeryhollow.js", flags: [] });
 */
export async function bundleProgram(
  { source, target, flags, alias = {}, format = "esm" }: BundledProgram,
): Promise<void> {
  const shebang = createShebang(flags);
  await build({
    entryPoints: [source],
    outfile: target,
    bundle: true,
    platform: "node",
    format,
    target: "node20",
    // Identifiers are not minified: esbuild's `keepNames` would add a property to every closure.
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    alias: { ...alias },
    banner: {
      js: format === "esm" ? `${shebang}\n${REQUIRE_BANNER}` : shebang,
    },
  });
  await chmod(target, EXECUTABLE_MODE);
}

function createShebang(flags: readonly string[]): string {
  return ["#!/usr/bin/env -S node", ...flags].join(" ");
}
