/**
 * Dispatch of the non-repeatable calls that a running call makes.
 *
 * They are made at most once for each run of their parent. A parent that may
 * itself be run again cannot give that, so it may make none.
 */

import { createHash } from "node:crypto";
import { err } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { ActiveCall } from "./active_calls.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Non-repeatable calls that one running call may make. */
const MAX_CHILDREN = 256;

/**
 * Dispatches a non-repeatable call of a running call, or joins the one made before.
 *
 * Calls are the same when service, method, path, body and the key that the
 * backend server gave are the same.
 *
 * @param environment - The daemon's parts
 * @param call - The non-repeatable call
 * @param parent - The running call that makes it
 * @returns The outcome
 *
 * @example
 * const result = await dispatchChildOnce(environment, call, parent);
 */
export async function dispatchChildOnce(
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
  const known = parent.children.get(idempotencyKey);
  if (known) {
    return (await known)
      .map((answer) => ({ ...answer, unusedAllowance }))
      .mapErr((failure) => ({ ...failure, unusedAllowance }));
  }
  if (parent.children.size >= MAX_CHILDREN) {
    return err(createRefusal(REASONS.keyLedgerFull, { unusedAllowance }));
  }
  const guard = { unresolvedRun: undefined };
  const result = dispatchCall(environment, {
    ...{ ...call, idempotencyKey, guard },
    signal: parent.signal,
  });
  parent.children.set(idempotencyKey, result);
  void result.then((settled) => {
    if (settled.isErr() && settled.error.kind === "refused") {
      parent.children.delete(idempotencyKey);
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
