/**
 * Bundles the two programs into `dist/`.
 */

import { chmod, mkdir } from "node:fs/promises";
import { build } from "esbuild";

const PROGRAMS = [
  { source: "build/daemon/main.js", target: "dist/celeryhollowd.js" },
  { source: "build/cli/main.js", target: "dist/celeryhollow.js" },
] as const;

const EXECUTABLE_MODE = 0o755;

/** Gives bundled CommonJS modules the `require` that they expect. */
const BANNER =
  `#!/usr/bin/env node\nimport { createRequire as createRequireHere } from "node:module";\nconst require = createRequireHere(import.meta.url);`;

await mkdir("dist", { recursive: true });
for (const { source, target } of PROGRAMS) {
  await build({
    entryPoints: [source],
    outfile: target,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    minify: true,
    keepNames: true,
    legalComments: "none",
    banner: { js: BANNER },
  });
  await chmod(target, EXECUTABLE_MODE);
  console.log(`built ${target}`);
}
