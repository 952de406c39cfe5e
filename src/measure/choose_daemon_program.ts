/**
 * Selects the build of the daemon that experiments start.
 */

import { statSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { PROJECT_ROOT } from "./project_root.ts";

const COMPILED_PROGRAM = fileURLToPath(
  new URL("../daemon/main.js", import.meta.url),
);
const BUNDLED_PROGRAM = fileURLToPath(
  new URL("dist/celeryhollowd.js", PROJECT_ROOT),
);

/**
 * Returns the bundled daemon, which is the shipped artifact, unless the bundle is
 * missing or older than the compiled program.
 *
 * @returns Absolute path of the program to start
 *
 * @example
 * spawn("node", [chooseDaemonProgram(), "--address", "127.0.0.1"]);
 */
export function chooseDaemonProgram(): string {
  const bundled = statSync(BUNDLED_PROGRAM, { throwIfNoEntry: false });
  const compiled = statSync(COMPILED_PROGRAM);
  return bundled && bundled.mtimeMs >= compiled.mtimeMs
    ? BUNDLED_PROGRAM
    : COMPILED_PROGRAM;
}
