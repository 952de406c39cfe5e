/**
 * Rank of a request tree, the same at every daemon.
 */

import { hashText } from "../hashing/mod.ts";

/** Separates the id of a request from what the ids of its nested calls add to it. */
const ID_SEPARATOR = ".";

/**
 * Hashes the part of a call's id that all calls of one request share. Gates that
 * serve nested calls in this order prefer the same requests, so that these
 * complete and the others fail at their first call, instead of many requests
 * failing after most of their calls have run.
 *
 * @param requestId - Id of the call
 * @returns Unsigned 32-bit hash
 *
 * @example
 * hashTree("9c41.22ab") === hashTree("9c41.7"); // true
 */
export function hashTree(requestId: string): number {
  const end = requestId.indexOf(ID_SEPARATOR);
  return hashText(end < 0 ? requestId : requestId.slice(0, end));
}
