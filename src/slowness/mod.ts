/**
 * Momentary slowness of VMs, as backend servers state it.
 */

export { MomentarySlowness } from "./momentary_slowness.ts";
export type { StatedSlowness } from "./momentary_slowness.ts";
