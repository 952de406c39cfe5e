/**
 * Client accounts: which account a caller's key belongs to.
 */

export { authenticateCaller } from "./authenticate_caller.ts";
export { digestKey } from "./digest_key.ts";
