/**
 * How an experiment tells a daemon process which links to dial.
 */

/** Environment variable with a JSON object of link addresses by VM address. */
export const LINKS_VARIABLE = "CELERYHOLLOW_TEST_LINKS";
