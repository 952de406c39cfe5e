/**
 * Injectable clocks and random number generators.
 */

export { Clock, SystemClock } from "./clock.ts";
export { RandomSource } from "./random_source.ts";
