/**
 * Demand of three times the capacity for ten seconds, from callers that retry hard.
 */

import type { Experiment } from "../experiment.ts";
import { compareOverload } from "../overload/compare_overload.ts";
import { TRIGGERS } from "../overload/run_overload.ts";

/** The experiment. */
export const experiment: Experiment = {
  description: "demand at 3x capacity for 10 s, protected and unprotected",
  run: () => compareOverload(TRIGGERS.surge),
};
