/**
 * Load balancing among the instances of a service, traffic splitting among
 * services, and the budget of the inter-region link.
 */

export { AdaptiveLoadBalancer } from "./adaptive_load_balancer.ts";
export type {
  AdaptiveLoadBalancerOptions,
  SpillOverOptions,
} from "./adaptive_load_balancer.ts";
export { countRegionDaemons } from "./count_region_daemons.ts";
export { LoadBalancer } from "./load_balancer.ts";
export type {
  AttemptReport,
  PayloadInfo,
  PickFailure,
  PickOptions,
} from "./load_balancer.ts";
export { LinkBudget } from "./link_budget.ts";
export type { Locality } from "./locality_tiers.ts";
export { TrafficSplitter } from "./traffic_splitter.ts";
export type { WeightedTarget } from "./traffic_splitter.ts";
export type { SpillChange } from "./spill_controller.ts";
export { SpillReceipts } from "./spill_receipts.ts";
export { RandomLoadBalancer } from "./random_load_balancer.ts";
