/**
 * Reservation of memory for a response before its request is sent or run.
 */

import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Longest wait for memory, in milliseconds, and the share of the remaining time that may be spent on it; a caller that is refused can then still return. */
const MAX_WAIT_MS = 1_000;
const WAIT_RATIO = 0.25;

/**
 * Reserves memory for the response that a call is expected to have, if it is
 * large. Waits for room for a short time.
 *
 * @param environment - Components of the daemon
 * @param call - The call, not sent yet
 * @returns Nothing if there is nothing to reserve, which is the case for most
 *   calls; otherwise a promise of nothing, or of a refusal if there is no room soon
 *
 * @example
 * const refusal = await reserveResponse(environment, call);
 */
export function reserveResponse(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<Refusal | undefined> | undefined {
  const { memory, responseSizes } = environment;
  const expectedBytes = Math.min(
    responseSizes.expect(call),
    memory.maxBodyBytes,
  );
  const missingBytes = expectedBytes - call.memory.aheadBytes;
  return missingBytes > 0
    ? reserve(environment, call, missingBytes)
    : undefined;
}

async function reserve(
  { clock, memory }: CallEnvironment,
  call: OutboundCall,
  missingBytes: number,
): Promise<Refusal | undefined> {
  const remainingMs = call.deadlineAtMs - clock.monotonicMs();
  const isReserved = await call.memory.reserveAhead(missingBytes, {
    signal: call.signal,
    classRank: call.classRank,
    maxWaitMs: Math.min(MAX_WAIT_MS, remainingMs * WAIT_RATIO),
  });
  return isReserved ? undefined : createRefusal(REASONS.memoryFull, {
    retryAfterMs: memory.estimateWaitMs(missingBytes),
    unusedAllowance: call.context.retryAllowance,
  });
}
