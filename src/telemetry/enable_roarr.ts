/**
 * Enables Roarr, which reads `ROARR_LOG` only once, when it is loaded. Import this
 * module before Roarr.
 */

import process from "node:process";

process.env.ROARR_LOG ??= "true";
