/**
 * Clocks and random numbers as dependencies.
 */

export { Clock, SystemClock } from "./clock.ts";
export { RandomSource } from "./random_source.ts";
