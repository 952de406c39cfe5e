/**
 * Switches the log library on; it reads the variable once, when it is loaded.
 */

import process from "node:process";

process.env.ROARR_LOG ??= "true";
