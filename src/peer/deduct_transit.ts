/**
 * Deduction of the time for which a call was held up on its way from the time
 * that it has left.
 */

import type { CallMessage } from "../generated/types.ts";
import { SENT_AFTER_NOTE } from "./transit_timer.ts";
import type { TransitTimer } from "./transit_timer.ts";

/**
 * Removes the sender's note from a call, and deducts from the call's remaining
 * time what it was held up for. The received call itself is changed, since it is
 * passed on only once.
 *
 * @param timer - Timer of the connection
 * @param call - The call, as received
 * @returns The call; unchanged if its sender states no time
 *
 * @example
 * const call = deductTransit(transitTimer, received);
 */
export function deductTransit(
  timer: TransitTimer,
  call: CallMessage,
): CallMessage {
  const { headers = [], context } = call;
  const index = headers.lastIndexOf(SENT_AFTER_NOTE);
  const sentAfterMs = Number(headers[index + 1]);
  if (index < 0 || index % 2 !== 0 || !Number.isFinite(sentAfterMs)) {
    return call;
  }
  const delayMs = timer.measureDelayMs(sentAfterMs);
  context.remainingMs = Math.max(0, context.remainingMs - delayMs);
  headers.splice(index, 2);
  if (headers.length === 0) {
    // A call that forwards no header fields has no list of them.
    delete call.headers;
  }
  return call;
}
