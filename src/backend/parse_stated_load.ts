/**
 * Parsing of the load that backend servers state in their responses.
 */

import type { StatedLoad } from "./server_statement.ts";

/** Decimal number without sign or exponent; the lengths exclude texts that no server would send. */
const DECIMAL = /^\d{1,6}(\.\d{1,6})?$/;

/** Number of figures without and with the slowness. */
const BASE_FIGURES = 3;
const ALL_FIGURES = 4;

/** Slowness figure of a VM on which work takes as long as usual. */
const USUAL_SLOWNESS = 100;

/**
 * Parses the load that a backend server states: running requests, waiting
 * requests, slots, and optionally its momentary slowness in percent of the usual
 * duration of work.
 *
 * @param text - Value of the header field
 * @returns The load, or undefined if the value is unreadable
 *
 * @example
 * parseStatedLoad("3,1,8,250"); // { running: 3, waiting: 1, slots: 8, slownessRatio: 2.5 }
 */
export function parseStatedLoad(text: string): StatedLoad | undefined {
  const parts = text.split(",").map((part) => part.trim());
  const isComplete = parts.length === BASE_FIGURES ||
    parts.length === ALL_FIGURES;
  if (!isComplete || !parts.every((part) => DECIMAL.test(part))) {
    return undefined;
  }
  const [running = 0, waiting = 0, slots = 0, slowness] = parts.map(Number);
  if (slowness === 0) {
    return undefined;
  }
  const slownessRatio = slowness === undefined
    ? undefined
    : slowness / USUAL_SLOWNESS;
  return { running, waiting, slots, slownessRatio };
}
