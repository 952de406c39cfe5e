/**
 * The deepest service ten times slower for ten seconds, under callers that retry hard.
 */

import type { Experiment } from "../experiment.ts";
import { compareOverload } from "../overload/compare_overload.ts";
import { TRIGGERS } from "../overload/run_overload.ts";

/** The experiment. */
export const experiment: Experiment = {
  description:
    "the deepest service 10x slower for 10 s, protected and unprotected",
  run: () => compareOverload(TRIGGERS.slowDeep),
};
