/**
 * Reservation of memory for a response before its request is sent or run.
 */

import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { describeKind } from "./describe_kind.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Longest wait for memory, in milliseconds, and the share of the remaining time that may be spent on it; a caller that is refused can then still return. */
const MAX_WAIT_MS = 1_000;
const WAIT_RATIO = 0.25;

/** Shortest step of a wait, in milliseconds. */
const MIN_STEP_MS = 1;

/** Time to read a response as a multiple of the time for which it is held: it is released once it is written, when some MB of it may still be in the buffers of the connection. While no hold has ended, the oldest one has to end first. */
const READ_FACTOR = 2;

/** Parts of a daemon that reservations need. */
export type ReservationEnvironment = Pick<
  CallEnvironment,
  "clock" | "memory" | "responseSizes" | "firstResponses"
>;

/** Options of {@link reserveResponse}. */
export interface ReserveOptions {
  /** Whether downloads of unknown size wait for the first responses of their kind. */
  readonly awaitsSize?: boolean;
  /** Longest wait for memory, in milliseconds. */
  readonly maxWaitMs?: number;
}

/**
 * Reserves memory for the response that a call is expected to have, if it is
 * large. Waits for room for a short time, unless the time that such responses
 * are held shows that the caller's time would not suffice afterwards.
 *
 * @param environment - Components of the daemon
 * @param call - The call, not sent yet
 * @param options - What the call may wait for
 * @returns Nothing if there is nothing to reserve, which is the case for most
 *   calls; otherwise a promise of nothing, or of a refusal if there is no room soon
 *
 * @example
 * const refusal = await reserveResponse(environment, call, { awaitsSize: true });
 */
export function reserveResponse(
  environment: ReservationEnvironment,
  call: OutboundCall,
  options: ReserveOptions = {},
): Promise<Refusal | undefined> | undefined {
  const { responseSizes } = environment;
  call.memory.observeResponseLength((bytes) =>
    responseSizes.learn(call, bytes)
  );
  if (
    options.awaitsSize && call.context.isBulk && !responseSizes.isKnown(call)
  ) {
    return awaitSize(environment, call, options);
  }
  return computeMissingBytes(environment, call) > 0
    ? reserve(environment, call, options)
    : undefined;
}

function computeMissingBytes(
  { memory, responseSizes }: ReservationEnvironment,
  call: OutboundCall,
): number {
  const expectedBytes = Math.min(
    responseSizes.expect(call),
    memory.maxBodyBytes,
  );
  return expectedBytes - call.memory.aheadBytes;
}

async function awaitSize(
  environment: ReservationEnvironment,
  call: OutboundCall,
  options: ReserveOptions,
): Promise<Refusal | undefined> {
  const remainingMs = call.deadlineAtMs - environment.clock.monotonicMs();
  const isAdmitted = await environment.firstResponses.admit(
    call,
    Math.max(0, remainingMs * WAIT_RATIO),
  );
  if (!isAdmitted) {
    return refuse(environment, call, 0);
  }
  return computeMissingBytes(environment, call) > 0
    ? await reserve(environment, call, options)
    : undefined;
}

async function reserve(
  environment: ReservationEnvironment,
  call: OutboundCall,
  options: ReserveOptions,
): Promise<Refusal | undefined> {
  const missingBytes = computeMissingBytes(environment, call);
  const isReserved =
    call.memory.tryReserveAhead(missingBytes, call.classRank) ||
    await waitForRoom(environment, call, { ...options, missingBytes });
  if (!isReserved) {
    return refuse(environment, call, missingBytes);
  }
  const { holds } = environment.memory;
  call.memory.onReleased(holds.begin(describeKind(call), missingBytes));
  return undefined;
}

/** Waits in steps, at the entry for as long as the caller's time suffices to hold the response afterwards. */
async function waitForRoom(
  environment: ReservationEnvironment,
  call: OutboundCall,
  { awaitsSize, maxWaitMs = MAX_WAIT_MS, missingBytes }:
    & ReserveOptions
    & { readonly missingBytes: number },
): Promise<boolean> {
  const { clock, memory } = environment;
  const kind = describeKind(call);
  let isFirstStep = true;
  for (;;) {
    const remainingMs = call.deadlineAtMs - clock.monotonicMs();
    const holdMs = memory.holds.getAverageMs(kind) ??
      memory.holds.getOldestMs(kind);
    const isInTime =
      memory.forecastWaitMs(missingBytes) + holdMs * READ_FACTOR <= remainingMs;
    const maySuffice = isFirstStep || (awaitsSize && holdMs > 0);
    if (maxWaitMs <= 0 || !isInTime || !maySuffice || call.signal.aborted) {
      return false;
    }
    isFirstStep = false;
    const isReserved = await call.memory.reserveAhead(missingBytes, {
      signal: call.signal,
      classRank: call.classRank,
      maxWaitMs: Math.max(
        MIN_STEP_MS,
        Math.min(maxWaitMs, remainingMs * WAIT_RATIO),
      ),
    });
    if (isReserved) {
      return true;
    }
  }
}

function refuse(
  { memory }: ReservationEnvironment,
  call: OutboundCall,
  missingBytes: number,
): Refusal {
  return createRefusal(REASONS.memoryFull, {
    retryAfterMs: memory.estimateWaitMs(missingBytes),
    unusedAllowance: call.context.retryAllowance,
  });
}
