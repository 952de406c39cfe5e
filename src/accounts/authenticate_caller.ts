/**
 * Authentication of callers by the key of their client account.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type {
  CompiledConfiguration,
  CompiledRequest,
} from "../configuration/mod.ts";
import type { AccountConfiguration } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { digestKey } from "./digest_key.ts";

/**
 * Finds the account on whose behalf a request is made.
 *
 * @param configuration - The active configuration
 * @param request - Kind of the request
 * @param key - Key that the caller presented, if any
 * @returns The account; undefined if the request needs none; the refusal
 *   `unauthorized` if the key is missing or unknown
 *
 * @example
 * const account = authenticateCaller(configuration, route, key);
 */
export function authenticateCaller(
  { accounts }: CompiledConfiguration,
  { isPublic = false }: Pick<CompiledRequest, "isPublic">,
  key: string | undefined,
): Result<AccountConfiguration | undefined, Refusal> {
  if (!accounts || isPublic) {
    return ok(undefined);
  }
  const account = key === undefined
    ? undefined
    : accounts.byKeyDigest.get(digestKey(key));
  return account ? ok(account) : err(createRefusal(REASONS.unauthorized));
}
