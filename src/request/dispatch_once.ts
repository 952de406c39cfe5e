/**
 * Dispatch of a non-repeatable call by the one daemon that its key names.
 */

import { err } from "neverthrow";
import { decodeIdempotencyKey } from "../idempotency/mod.ts";
import type { IdempotencyKey } from "../idempotency/mod.ts";
import { createRefusal, createUncertainty, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { OutboundCall } from "./outbound_call.ts";

/**
 * Dispatches a call under its key: here if this daemon issued it, otherwise
 * through the daemon that did.
 *
 * @param environment - The daemon's parts
 * @param call - A call with an idempotency key
 * @returns The outcome
 *
 * @example
 * const result = await dispatchOnce(environment, call);
 */
export async function dispatchOnce(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const key = decodeIdempotencyKey(
    call.idempotencyKey,
    environment.settings.fleetToken,
  );
  if (key.isErr()) {
    return err(createRefusal(key.error));
  }
  if (key.value.holder === environment.membership.self.incarnation) {
    return await environment.keys.runOnce(
      key.value,
      () => dispatchCall(environment, call),
    );
  }
  return await forwardToHolder(environment, call, key.value);
}

async function forwardToHolder(
  environment: CallEnvironment,
  call: OutboundCall,
  key: IdempotencyKey,
): Promise<CallResult> {
  const holder = environment.membership.find(key.holder);
  if (!holder || holder.state === "dead") {
    return err(createUncertainty(REASONS.keyHolderGone));
  }
  const {
    context,
    idempotencyKey,
    service,
    method,
    path,
    contentType,
    body,
    signal,
  } = call;
  const bodyLengthBytes = body.length;
  const message = {
    context,
    idempotencyKey,
    service,
    method,
    path,
    contentType,
    bodyLengthBytes,
  };
  return await environment.peers.get(holder).call(
    { kind: "call", purpose: "dispatch", ...message },
    body,
    { signal },
  );
}
