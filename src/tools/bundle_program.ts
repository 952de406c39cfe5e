/**
 * Bundling of one program into one file.
 */

import { chmod } from "node:fs/promises";
import { build } from "esbuild";

/** What to bundle. */
export interface BundledProgram {
  readonly source: string;
  readonly target: string;
  /** Flags of the runtime. */
  readonly flags: readonly string[];
  /** Modules that take the place of packages. */
  readonly alias?: Readonly<Record<string, string>>;
}

/** Loads only the parts of the HTTP client that the daemon uses. */
export const DAEMON_ALIAS = {
  undici: "./src/tools/undici_client.cjs",
} as const;

const EXECUTABLE_MODE = 0o755;

/** Gives bundled CommonJS modules the `require` that they expect. */
const REQUIRE_BANNER =
  `import { createRequire as createRequireHere } from "node:module";
const require = createRequireHere(import.meta.url);`;

/**
 * Bundles a program with what it imports.
 *
 * @param program - Source, target and flags
 *
 * @example
 * await bundleProgram({ source: "build/src/cli/main.js", target: "dist/celeryhollow.js", flags: [] });
 */
export async function bundleProgram(
  { source, target, flags, alias = {} }: BundledProgram,
): Promise<void> {
  await build({
    entryPoints: [source],
    outfile: target,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    // Keeping names by esbuild's own means would cost each closure a property.
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    alias: { ...alias },
    banner: { js: `${createShebang(flags)}\n${REQUIRE_BANNER}` },
  });
  await chmod(target, EXECUTABLE_MODE);
}

function createShebang(flags: readonly string[]): string {
  return ["#!/usr/bin/env -S node", ...flags].join(" ");
}
