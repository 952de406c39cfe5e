/**
 * Texts by which members tell each other that a backend server has left.
 */

import type { Departure } from "./departure_list.ts";
import { formatServerId } from "./format_server_id.ts";

/** Precedes the start if processes that started earlier have left as well; older builds take no process by such a text. */
const EARLIER_MARK = "~";

const DEPARTURE = /^(.+)\/(~?)(\d+)$/s;

/**
 * Formats a departure.
 *
 * @param departure - The departure
 * @returns The id of the server, marked if it includes earlier ones
 *
 * @example
 * formatDeparture({ instanceId: "i-7f3a", startedAtMs: 5 }); // "i-7f3a/5"
 */
export function formatDeparture(departure: Departure): string {
  const { instanceId, startedAtMs, includesEarlier } = departure;
  return includesEarlier
    ? `${instanceId}/${EARLIER_MARK}${startedAtMs}`
    : formatServerId(departure);
}

/**
 * Parses a departure.
 *
 * @param text - The text of a member
 * @returns The departure; undefined if the text tells none
 *
 * @example
 * parseDeparture("i-7f3a/~5"); // { instanceId: "i-7f3a", startedAtMs: 5, includesEarlier: true }
 */
export function parseDeparture(text: string): Departure | undefined {
  const [, instanceId = "", mark, start] = DEPARTURE.exec(text) ?? [];
  const startedAtMs = Number(start);
  return Number.isSafeInteger(startedAtMs)
    ? {
      ...{ instanceId, startedAtMs },
      ...mark === EARLIER_MARK && { includesEarlier: true },
    }
    : undefined;
}
