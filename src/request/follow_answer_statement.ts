/**
 * Follows what the backend server of another VM says of itself in an answer.
 */

import { ok } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { extractPeerNotes, PEER_NOTES } from "./peer_notes.ts";

/**
 * Excludes an instance that says that it leaves, and removes the notes of its
 * daemon from the answer.
 *
 * @param environment - Components of the daemon
 * @param instance - Record of the instance
 * @param result - Outcome of the attempt
 * @returns The outcome to pass on
 *
 * @example
 * const result = followAnswerStatement(environment, instance, reply);
 */
export function followAnswerStatement(
  { backendClient, leavingServers, membership }: CallEnvironment,
  instance: MemberRecord,
  result: CallResult,
): CallResult {
  if (result.isErr() || !result.value.headers) {
    return result;
  }
  const answer = result.value;
  const { headers, notes } = extractPeerNotes(result.value.headers);
  const serverId = notes.get(PEER_NOTES.leavingServer);
  if (serverId !== undefined) {
    leavingServers.add(instance, serverId);
  }
  if (backendClient.readStatement(headers).isLeaving) {
    membership.markLeaving(instance.incarnation);
  }
  return headers === answer.headers ? result : ok({ ...answer, headers });
}
