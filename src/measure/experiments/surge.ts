/**
 * Measures an overload by an offered load of three times the capacity for ten
 * seconds, from callers that retry aggressively.
 */

import type { Experiment } from "../experiment.ts";
import { compareOverload } from "../overload/compare_overload.ts";
import { TRIGGERS } from "../overload/run_overload.ts";

/** The experiment. */
export const experiment: Experiment = {
  description:
    "offered load at 3x capacity for 10 s, with and without protection",
  run: () => compareOverload(TRIGGERS.surge),
};
