/**
 * Dispatches the non-repeatable nested calls of a running call.
 *
 * Each is dispatched at most once for each run of its parent. A repeatable
 * parent may itself run again and cannot guarantee that, so its non-repeatable
 * nested calls are refused.
 */

import { createHash } from "node:crypto";
import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Maximum number of non-repeatable nested calls of one running call. */
const MAX_NESTED_CALLS = 256;

/**
 * Dispatches a non-repeatable nested call, or joins an earlier identical one.
 *
 * Calls are identical if service, method, path, body and the idempotency key
 * supplied by the backend server are the same.
 *
 * @param environment - Components of the daemon
 * @param call - The non-repeatable call
 * @param parent - The running call that makes the nested call
 * @returns The outcome
 *
 * @example
 * const result = await dispatchNestedOnce(environment, call, parent);
 */
export async function dispatchNestedOnce(
  environment: CallEnvironment,
  call: OutboundCall,
  parent: ActiveCall,
): Promise<CallResult> {
  const unusedAllowance = call.context.retryAllowance;
  if (parent.context.isRepeatable) {
    return err(createRefusal(REASONS.parentRepeatable, { unusedAllowance }));
  }
  const { incarnation } = environment.membership.self;
  const idempotencyKey = `${incarnation}/${parent.token}/${digestCall(call)}`;
  const existing = parent.nestedCalls.get(idempotencyKey);
  if (existing) {
    return (await existing)
      .map((answer) => ({ ...answer, unusedAllowance }))
      .mapErr((failure) => ({ ...failure, unusedAllowance }));
  }
  if (parent.nestedCalls.size >= MAX_NESTED_CALLS) {
    return err(createRefusal(REASONS.keyLedgerFull, { unusedAllowance }));
  }
  const dispatchState = { unresolvedRun: undefined };
  const result = dispatchCall(environment, {
    ...{ ...call, idempotencyKey, dispatchState },
    signal: parent.signal,
  });
  parent.nestedCalls.set(idempotencyKey, result);
  void result.then((settled) => {
    if (settled.isErr() && settled.error.kind === "refused") {
      parent.nestedCalls.delete(idempotencyKey);
    }
  });
  return await result;
}

function digestCall(call: OutboundCall): string {
  const { service, method, path, idempotencyKey, body } = call;
  return createHash("sha256")
    .update(JSON.stringify([service, method, path, idempotencyKey]))
    .update(body)
    .digest("base64url");
}
