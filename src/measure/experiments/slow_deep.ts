/**
 * Measures an overload by a deepest service that is ten times slower for ten
 * seconds, with callers that retry aggressively.
 */

import type { Experiment } from "../experiment.ts";
import { compareOverload } from "../overload/compare_overload.ts";
import { TRIGGERS } from "../overload/run_overload.ts";

/** The experiment. */
export const experiment: Experiment = {
  description:
    "deepest service 10x slower for 10 s, with and without protection",
  run: () => compareOverload(TRIGGERS.slowDeep),
};
