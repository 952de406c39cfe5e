/**
 * Identification of the client account on whose behalf a routed call is made.
 *
 * This happens before the body of a call is read, so that a caller without a
 * valid key uses no memory and no allowance.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { authenticateCaller, digestKey } from "../accounts/mod.ts";
import { findRoute } from "../configuration/mod.ts";
import type {
  CompiledConfiguration,
  RouteTarget,
} from "../configuration/mod.ts";
import type { AccountConfiguration } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { recordOutcome } from "./record_outcome.ts";

/** Retry delay suggested while there is no configuration, in milliseconds. */
export const NOT_READY_RETRY_AFTER_MS = 500;

/** Characters of a key's digest that are logged; enough to tell keys apart, too few to look one up. */
const LOGGED_DIGEST_LENGTH = 8;

/** What is known of a call before its body is read. */
export interface CallerTarget extends RouteTarget {
  readonly requestId: string;
  /** Id of the running call that makes this one; empty for external callers. */
  readonly parentId: string;
  /** Key that the caller presented, if any. */
  readonly key: string | undefined;
  /** Whether the call was made on this VM. */
  readonly isFromThisVm: () => boolean;
}

/** The account of a call, under one configuration. */
export interface IdentifiedCaller {
  readonly configuration: CompiledConfiguration;
  /** Undefined for calls that need no key, and for nested calls, which have the account of their parent. */
  readonly account: AccountConfiguration | undefined;
  /** Id of the running call that makes this one; empty if it is a caller's, whatever its id looks like. */
  readonly parentId: string;
}

/**
 * Identifies the caller of a routed call, and records the refusal if there is one.
 *
 * @param environment - Components of the daemon
 * @param target - What is known of the call
 * @returns The caller, or the refusal
 *
 * @example
 * const caller = identifyCaller(environment, target);
 */
export function identifyCaller(
  environment: CallEnvironment,
  target: CallerTarget,
): Result<IdentifiedCaller, Refusal> {
  const startedAtMs = environment.clock.monotonicMs();
  return findCaller(environment, target).mapErr((refusal) => {
    const { requestId, key } = target;
    if (refusal.reason === REASONS.unauthorized) {
      const keyDigest = key === undefined
        ? "none"
        : digestKey(key).slice(0, LOGGED_DIGEST_LENGTH);
      environment.log.debug({ requestId, keyDigest }, "caller-unauthorized");
    }
    recordOutcome(environment, err(refusal), {
      ...{ className: "none", tenant: "other", service: "" },
      ...{ requestId, startedAtMs },
    });
    return refusal;
  });
}

function findCaller(
  { activeCalls, configuration: { current: configuration } }: CallEnvironment,
  target: CallerTarget,
): Result<IdentifiedCaller, Refusal> {
  if (!configuration) {
    const retryAfterMs = NOT_READY_RETRY_AFTER_MS;
    return err(createRefusal(REASONS.notReady, { retryAfterMs }));
  }
  const { parentId, key, isFromThisVm } = target;
  const nestedCaller = { configuration, account: undefined, parentId };
  if (!configuration.accounts) {
    return ok(nestedCaller);
  }
  // A caller knows the id of its own request. Only the backend server of this VM
  // makes nested calls, and it has no key.
  const isNested = parentId !== "" && key === undefined && isFromThisVm();
  if (isNested && activeCalls.find(parentId)) {
    return ok(nestedCaller);
  }
  const route = findRoute(configuration, target);
  if (!route) {
    return err(createRefusal(REASONS.unknownRequest));
  }
  // This process may not know the parent of a nested call, since the daemon was
  // restarted or the parent's caller is gone.
  if (isNested && !route.isPublic) {
    return ok(nestedCaller);
  }
  return authenticateCaller(configuration, route, key)
    .map((account) => ({ configuration, account, parentId: "" }));
}
