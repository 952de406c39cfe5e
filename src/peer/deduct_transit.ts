/**
 * Deduction of the time for which a call was held up on its way from the time
 * that it has left.
 */

import type { CallMessage } from "../generated/types.ts";
import { SENT_AFTER_NOTE } from "./transit_timer.ts";
import type { TransitTimer } from "./transit_timer.ts";

/**
 * Removes the sender's note from a call, and deducts from the call's remaining
 * time what it was held up for.
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
  const { headers = [], ...rest } = call;
  const index = headers.lastIndexOf(SENT_AFTER_NOTE);
  const sentAfterMs = Number(headers[index + 1]);
  if (index < 0 || index % 2 !== 0 || !Number.isFinite(sentAfterMs)) {
    return call;
  }
  const others = [...headers.slice(0, index), ...headers.slice(index + 2)];
  const remainingMs = Math.max(
    0,
    call.context.remainingMs - timer.measureDelayMs(sentAfterMs),
  );
  return {
    ...rest,
    context: { ...call.context, remainingMs },
    ...others.length > 0 && { headers: others },
  };
}
