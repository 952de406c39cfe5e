/**
 * Serves calls from other daemons: to run a call here, to query the outcome of
 * a run, to dispatch a call under a key held here, or to take over keys.
 */

import { err } from "neverthrow";
import { formatServerId } from "../backend/mod.ts";
import { CallController } from "../cancellation/mod.ts";
import type { CallMessage } from "../generated/types.ts";
import { decodeIdempotencyKey } from "../idempotency/mod.ts";
import type { RunAttempt } from "../idempotency/mod.ts";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { IncomingCallOptions } from "../peer/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { extractPeerNotes, PEER_NOTES } from "./peer_notes.ts";
import { dispatchOnce } from "./dispatch_once.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { decodeDomain } from "./spill_note.ts";
import { runCall } from "./run_call.ts";
import { takeOverKeys } from "./take_over_keys.ts";

/**
 * Serves a call from another daemon.
 *
 * @param environment - Components of the daemon
 * @param message - The call
 * @param options - The complete body, the memory that the call holds, and a
 *   signal that is aborted when the sender no longer waits
 * @returns The outcome
 *
 * @example
 * const result = await servePeerCall(environment, message, { body, signal, memory });
 */
export async function servePeerCall(
  environment: CallEnvironment,
  message: CallMessage,
  options: IncomingCallOptions,
): Promise<CallResult> {
  const handle = environment.peerServices.find(message.service);
  if (handle) {
    return await handle(message, options);
  }
  const { clock, configuration } = environment;
  const { context } = message;
  const classRanks = configuration.current?.classRanks;
  const { headers, notes } = extractPeerNotes(message.headers ?? []);
  markLeavingServer(environment, notes.get(PEER_NOTES.leavingServer));
  const receivedAtMs = clock.monotonicMs();
  const call: OutboundCall = {
    context,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + context.remainingMs,
    classRank: classRanks?.get(context.className) ?? classRanks?.size ?? 0,
    service: message.service,
    method: message.method,
    path: message.path,
    contentType: message.contentType,
    headers: message.headers && headers,
    callerService: message.callerService,
    maxAttempts: undefined,
    targetLatencyMs: undefined,
    body: options.body,
    memory: options.memory,
    idempotencyKey: message.idempotencyKey,
    attempt: message.attempt ?? 0,
    dispatchState: undefined,
    isLastResort: notes.has(PEER_NOTES.lastResort),
    spilledFrom: readDomain(notes.get(PEER_NOTES.spilledFrom)),
    elsewhereMs: readElsewhereMs(notes.get(PEER_NOTES.elsewhere)),
    signal: options.signal,
  };
  switch (message.purpose) {
    case "run":
      return message.runKey === undefined
        ? await runCall(environment, call)
        : await runOnce(environment, call, toRunAttempt(message));
    case "resolve":
      return await environment.runs.resolve(toRunAttempt(message));
    case "dispatch":
      return await dispatchIfHeld(environment, call);
    case "takeover":
      return takeOverKeys(environment, options.body);
  }
}

function readDomain(note: string | undefined): string | undefined {
  return note === undefined ? undefined : decodeDomain(note);
}

function readElsewhereMs(note: string | undefined): number | undefined {
  const elsewhereMs = Number(note);
  return note !== undefined && Number.isFinite(elsewhereMs)
    ? elsewhereMs
    : undefined;
}

/** Learns from another daemon that the backend server of this VM leaves, which this process may not have been told. */
function markLeavingServer(
  { backend, journal }: CallEnvironment,
  serverId: string | undefined,
): void {
  const { announcement, isServerLeaving } = backend;
  if (
    serverId !== undefined && announcement && !isServerLeaving &&
    formatServerId(announcement) === serverId
  ) {
    backend.leave(announcement);
    journal.record(DECISIONS.serverLeaving, { serverId, toldBy: "peer" });
  }
}

/** Runs an attempt independently of the connection that it was received on, since its sender may query it on another one. The sender can cancel it until the backend server gets it. */
function runOnce(
  environment: CallEnvironment,
  call: OutboundCall,
  attempt: RunAttempt,
): Promise<CallResult> {
  const controller = new CallController();
  const onRun = controller.follow(call.signal);
  const { signal } = controller;
  return environment.runs.runOnce(
    attempt,
    () => runCall(environment, { ...call, signal, onRun }),
  );
}

/** Dispatches a call if its key is or was held here; the outcome of other keys is unknown. */
async function dispatchIfHeld(
  environment: CallEnvironment,
  call: OutboundCall,
): Promise<CallResult> {
  const { keys, settings } = environment;
  const key = decodeIdempotencyKey(call.idempotencyKey, settings.fleetToken);
  return key.isOk() && keys.holds(key.value.holder)
    ? await dispatchOnce(environment, call)
    : err(createUnknownOutcome(REASONS.keyHolderGone));
}

function toRunAttempt({ runKey, startBeforeMs }: CallMessage): RunAttempt {
  return { runKey: runKey ?? "", startBeforeMs: startBeforeMs ?? 0 };
}
