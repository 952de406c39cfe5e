/**
 * Calls that other daemons send: to run here, or to dispatch under a key of ours.
 */

import { err } from "neverthrow";
import type { CallMessage } from "../generated/types.ts";
import { decodeIdempotencyKey } from "../idempotency/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { runCall } from "./run_call.ts";

/**
 * Serves a call from another daemon.
 *
 * @param environment - The daemon's parts
 * @param message - The call
 * @param options - Its whole body, and the signal that ends when the sender no longer waits
 * @returns The outcome
 *
 * @example
 * const result = await servePeerCall(environment, message, { body, signal });
 */
export async function servePeerCall(
  environment: CallEnvironment,
  message: CallMessage,
  options: { body: Uint8Array; signal: AbortSignal },
): Promise<CallResult> {
  const { clock, configuration, keys, membership, settings } = environment;
  const { context, idempotencyKey, service, method, path, contentType } =
    message;
  const classRanks = configuration.current?.classRanks;
  const call: OutboundCall = {
    ...{ context, idempotencyKey, service, method, path, contentType },
    ...options,
    deadlineAtMs: clock.monotonicMs() + context.remainingMs,
    classRank: classRanks?.get(context.className) ?? classRanks?.size ?? 0,
  };
  if (message.purpose === "run") {
    return await runCall(environment, call);
  }
  const key = decodeIdempotencyKey(idempotencyKey, settings.fleetToken);
  if (key.isErr() || key.value.holder !== membership.self.incarnation) {
    return err(createRefusal(REASONS.keyInvalid));
  }
  return await keys.runOnce(key.value, () => dispatchCall(environment, call));
}
