/**
 * Choice of instances.
 */

export { AdaptiveChooser } from "./adaptive_chooser.ts";
export type { AdaptiveChooserOptions } from "./adaptive_chooser.ts";
export { countRegionDaemons } from "./count_region_daemons.ts";
export { InstanceChooser } from "./instance_chooser.ts";
export type {
  AttemptReport,
  BodySize,
  ChoiceOptions,
  ChoiceRefusal,
} from "./instance_chooser.ts";
export { LinkBudget } from "./link_budget.ts";
export type { Locality } from "./locality_tiers.ts";
export { WeightedSplit } from "./weighted_split.ts";
export type { WeightedTarget } from "./weighted_split.ts";
export { RandomChooser } from "./random_chooser.ts";
