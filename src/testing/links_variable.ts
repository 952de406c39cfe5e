/**
 * How an experiment tells a daemon process which links to dial and how to route.
 */

/** Environment variable with a JSON object of link addresses by VM address. */
export const LINKS_VARIABLE = "TEST_FLEET_LINKS";

/** Environment variable that is `random` for the baseline of routing alone. */
export const ROUTING_VARIABLE = "TEST_FLEET_ROUTING";
