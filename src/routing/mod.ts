/**
 * Choice of instances.
 */

export { InstanceChooser } from "./instance_chooser.ts";
export type { AttemptReport, ChoiceOptions } from "./instance_chooser.ts";
export { LocalFirstChooser } from "./local_first_chooser.ts";
export type { Locality } from "./local_first_chooser.ts";
export { RandomChooser } from "./random_chooser.ts";
