/**
 * Which build of the daemon experiments start.
 */

import { statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const COMPILED_PROGRAM = fileURLToPath(
  new URL("../daemon/main.js", import.meta.url),
);
const BUNDLED_PROGRAM = fileURLToPath(
  new URL("../../dist/celeryhollowd.js", import.meta.url),
);

/**
 * Chooses the bundled program, as it is shipped, unless it is older than the
 * compiled one.
 *
 * @returns Path of the program
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
