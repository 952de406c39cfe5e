/**
 * Dispatches a non-repeatable call through the daemon that holds its
 * idempotency key.
 */

import { err } from "neverthrow";
import { CallController } from "../cancellation/mod.ts";
import { decodeIdempotencyKey, PLACEMENTS } from "../idempotency/mod.ts";
import type { DispatchState, IdempotencyKey } from "../idempotency/mod.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import { forwardToHolder } from "./forward_to_holder.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { resolveRun } from "./send_once.ts";

/**
 * Dispatches a call under its idempotency key: from this daemon if it holds the
 * key, otherwise through the daemon that does.
 *
 * @param environment - Components of the daemon
 * @param call - A call with an idempotency key
 * @returns The outcome; a refusal means that no attempt under the key has run
 *
 * @example
 * const result = await dispatchOnce(environment, call);
 */
export async function dispatchOnce(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { keyPlacement, keys, settings } = environment;
  const key = decodeIdempotencyKey(call.idempotencyKey, settings.fleetToken);
  if (key.isErr()) {
    return err(createRefusal(key.error));
  }
  const { holder } = key.value;
  if (!keys.holds(holder)) {
    return await forwardToHolder(environment, call, holder);
  }
  while (keyPlacement.state === PLACEMENTS.handingOver) {
    await keyPlacement.handOverEnded;
  }
  if (keyPlacement.state === PLACEMENTS.here) {
    return await dispatchLocally(environment, call, key.value);
  }
  return keyPlacement.state === PLACEMENTS.handedOver
    ? await forwardToHolder(environment, call, keyPlacement.successor)
    : err(createUnknownOutcome(REASONS.keyHolderGone));
}

function dispatchLocally(
  environment: CallEnvironment,
  call: OutboundCall,
  key: IdempotencyKey,
): Promise<CallResult> {
  const { keys } = environment;
  const detached = { ...call, signal: new CallController().signal };
  return keys.runOnce(key, {
    attempt: call.attempt,
    dispatch: (dispatchState) =>
      admitAndDispatch(environment, { ...detached, dispatchState }),
    resolveOutcome: (dispatchState) =>
      resolveOutcome(environment, { ...detached, dispatchState }),
  });
}

/** Applies admission control, which may refuse the call because nothing has run under the key yet, and dispatches it. */
async function admitAndDispatch(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { configuration, entryAdmission } = environment;
  const { requestName, member, requestId } = call.context;
  const request = configuration.current?.requestsByName.get(requestName);
  const admitted = request &&
    entryAdmission.check({ request, member, requestId });
  if (admitted?.isErr()) {
    return err(admitted.error);
  }
  const mark = admitted?.unwrapOr({ mark: undefined }).mark;
  const context = { ...call.context, ...mark && { admission: mark } };
  return await dispatchCall(environment, { ...call, context });
}

function resolveOutcome(
  environment: CallEnvironment,
  call: OutboundCall & { readonly dispatchState: DispatchState },
): Promise<CallResult> | undefined {
  const { unresolvedRun } = call.dispatchState;
  return unresolvedRun && resolveRun(environment, call, unresolvedRun);
}
