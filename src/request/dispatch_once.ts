/**
 * Dispatch of a non-repeatable call by the one daemon that holds its key.
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
import { settleRun } from "./send_once.ts";

/**
 * Dispatches a call under its key: here if the key is held here, otherwise
 * through the daemon that holds it.
 *
 * @param environment - The daemon's parts
 * @param call - A call with an idempotency key
 * @returns The outcome; a refusal says that no attempt under the key has run
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
    return await dispatchHere(environment, call, key.value);
  }
  return keyPlacement.state === PLACEMENTS.handedOver
    ? await forwardToHolder(environment, call, keyPlacement.successor)
    : err(createUnknownOutcome(REASONS.keyHolderGone));
}

function dispatchHere(
  environment: CallEnvironment,
  call: OutboundCall,
  key: IdempotencyKey,
): Promise<CallResult> {
  const { keys } = environment;
  const held = { ...call, signal: new CallController().signal };
  return keys.runOnce(key, {
    attempt: call.attempt,
    dispatch: (guard) => admitAndDispatch(environment, { ...held, guard }),
    resolveOutcome: (guard) => settleAgain(environment, { ...held, guard }),
  });
}

/** Refuses what the fleet is too loaded for, since nothing under the key has run; then dispatches. */
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

function settleAgain(
  environment: CallEnvironment,
  call: OutboundCall & { readonly guard: DispatchState },
): Promise<CallResult> | undefined {
  const { unresolvedRun: openRun } = call.guard;
  return openRun && settleRun(environment, call, openRun);
}
