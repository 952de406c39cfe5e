/**
 * The files that the platform's daemon consists of.
 */

import { DAEMON_ALIAS } from "./bundle_program.ts";
import type { BundledProgram } from "./bundle_program.ts";

/**
 * Lists the files of the platform's daemon.
 *
 * @param folder - Folder that receives the files, `target` in the repository
 * @returns The files to bundle
 *
 * @example
 * for (const program of listPlatformPrograms("target")) await bundleProgram(program);
 */
export function listPlatformPrograms(folder: string): BundledProgram[] {
  return [
    {
      source: "build/platform/main.js",
      target: `${folder}/celeryhollowd.js`,
      flags: [],
      alias: DAEMON_ALIAS,
    },
    {
      source: "build/platform/ignore_early_sighup.js",
      target: `${folder}/ignore_early_sighup.cjs`,
      flags: [],
      format: "cjs",
    },
  ];
}
