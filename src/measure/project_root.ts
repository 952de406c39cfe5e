/**
 * Location of the project's root folder.
 */

/** URL of the root folder; compiled modules of this folder lie in `build/src/measure`. */
export const PROJECT_ROOT = new URL("../../../", import.meta.url);
