/**
 * Environment variables that pass links and the routing mode from an experiment to
 * its daemon processes.
 */

/** Environment variable with a JSON object that maps VM addresses to link addresses. */
export const LINKS_VARIABLE = "TEST_FLEET_LINKS";

/** Environment variable that is `random` for the baseline with random routing. */
export const ROUTING_VARIABLE = "TEST_FLEET_ROUTING";
