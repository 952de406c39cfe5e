/**
 * Bundles the daemon, the operator tool and the check of the platform's
 * configuration into `dist/`, and the platform's daemon into `target/`.
 */

import { mkdir } from "node:fs/promises";
import { DAEMON_NODE_FLAGS } from "../constants/node_flags.ts";
import { bundleProgram } from "./bundle_program.ts";
import type { BundledProgram } from "./bundle_program.ts";
import { listPlatformPrograms } from "./platform_programs.ts";

const PROGRAMS: readonly BundledProgram[] = [
  {
    source: "build/src/daemon/main.js",
    target: "dist/celeryhollowd.js",
    flags: DAEMON_NODE_FLAGS,
  },
  ...listPlatformPrograms("target"),
  {
    source: "build/src/cli/main.js",
    target: "dist/celeryhollow.js",
    flags: [],
  },
  {
    source: "build/platform/check_main.js",
    target: "dist/celeryhollow-platform.js",
    flags: [],
  },
];

await Promise.all(
  ["dist", "target"].map((folder) => mkdir(folder, { recursive: true })),
);
for (const program of PROGRAMS) {
  await bundleProgram(program);
  console.log(`built ${program.target}`);
}
