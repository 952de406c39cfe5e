/**
 * Handover of this daemon's idempotency keys when it stops.
 *
 * The daemon stops using its keys, sends them to one successor and waits for
 * the acknowledgement. Dispatches in progress continue here; their outcomes
 * follow in a second message. If a successor may have received the keys but has
 * not acknowledged them, the offer is repeated to it and made to no other daemon.
 */

import { encode } from "cbor-x";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { CallController } from "../cancellation/mod.ts";
import type {
  HandedOutcome,
  KeyHandover,
  MemberRecord,
} from "../generated/types.ts";
import type { UsedKey } from "../idempotency/mod.ts";
import { PLACEMENTS } from "../idempotency/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { CallWithoutId } from "../peer/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { callWithDeadline } from "../peer/mod.ts";

/** Time within which a successor must acknowledge, in milliseconds. */
const ACKNOWLEDGE_TIMEOUT_MS = 5_000;

/** Interval between offers to the same successor, in milliseconds. */
const OFFER_RETRY_INTERVAL_MS = 50;

/** Maximum number of successors to try. */
const MAX_CANDIDATES = 4;

const EMPTY_BODY = new Uint8Array(0);

/** Why an offer was not acknowledged: it was certainly not accepted, or it may have been. */
type OfferFailure = "not-accepted" | "unconfirmed";

/**
 * Hands this daemon's keys over to a successor.
 *
 * @param environment - Components of the daemon
 * @returns A function that sends the outcomes of dispatches in progress once
 *   they are known
 *
 * @example
 * const sendLateOutcomes = await handOverKeys(environment);
 */
export async function handOverKeys(
  environment: CallEnvironment,
): Promise<() => Promise<void>> {
  const { keyPlacement, keys, membership } = environment;
  const noop = () => Promise.resolve();
  const candidates = listCandidates(environment);
  if (keyPlacement.state !== PLACEMENTS.here || candidates.length === 0) {
    return noop;
  }
  keyPlacement.beginHandOver();
  const used = keys.listUsedKeys();
  const outcomes = used.map((key) => createHandedOutcome(environment, key));
  const handover = { holders: keys.holders, outcomes };
  for (const candidate of candidates) {
    const offered = await offerKeys(environment, candidate, handover);
    if (offered.isOk()) {
      keyPlacement.completeHandOver(candidate.incarnation);
      membership.updateSelf({ successor: candidate.incarnation });
      recordHandover(environment, candidate, handover);
      const running = used.filter(({ outcome }) => !outcome.settled);
      return () => sendLateOutcomes(environment, candidate, running);
    }
    if (offered.error === "unconfirmed") {
      keyPlacement.markLost();
      recordUnacknowledgedHandover(environment, candidate, handover);
      return noop;
    }
  }
  keyPlacement.cancelHandOver();
  return noop;
}

/** Lists possible successors: nearest first, then most recently started. */
function listCandidates({ membership }: CallEnvironment): MemberRecord[] {
  const { self } = membership;
  const distance = (record: MemberRecord) =>
    Number(record.failureDomain !== self.failureDomain) +
    Number(record.region !== self.region);
  return membership.listAll()
    .filter(({ incarnation, state }) =>
      incarnation !== self.incarnation && state === "alive"
    )
    .sort((one, other) =>
      distance(one) - distance(other) || other.startedAtMs - one.startedAtMs
    )
    .slice(0, MAX_CANDIDATES);
}

async function offerKeys(
  { clock, membership, peers }: CallEnvironment,
  candidate: MemberRecord,
  handover: KeyHandover,
): Promise<Result<void, OfferFailure>> {
  const body = encode(handover);
  const message = createTakeoverMessage(body.length);
  const deadlineAtMs = clock.monotonicMs() + ACKNOWLEDGE_TIMEOUT_MS;
  const { signal } = new CallController();
  let isSent = false;
  while (clock.monotonicMs() < deadlineAtMs) {
    const { result, progress } = await callWithDeadline(
      peers.get(candidate),
      clock,
      { message, body, deadlineAtMs, signal },
    );
    if (progress.isReplied) {
      return result.map(() => undefined).mapErr(({ kind }) =>
        // Only a refusal proves that nothing was accepted, and an earlier message may still arrive.
        isSent || kind !== "refused" ? "unconfirmed" : "not-accepted"
      );
    }
    isSent ||= progress.isSent;
    const isGone = membership.find(candidate.incarnation)?.state !== "alive";
    if (!isSent || isGone) {
      break;
    }
    await clock.sleep(OFFER_RETRY_INTERVAL_MS);
  }
  return err(isSent ? "unconfirmed" : "not-accepted");
}

async function sendLateOutcomes(
  environment: CallEnvironment,
  successor: MemberRecord,
  running: readonly UsedKey[],
): Promise<void> {
  if (running.length === 0) {
    return;
  }
  const outcomes = await Promise.all(running.map(async (key) => {
    const settled = await key.outcome.result;
    return createHandedOutcome(environment, {
      ...key,
      outcome: { ...key.outcome, settled },
    });
  }));
  await offerKeys(environment, successor, { holders: [], outcomes });
}

function createTakeoverMessage(bodyLengthBytes: number): CallWithoutId {
  return {
    kind: "call",
    purpose: "takeover",
    idempotencyKey: "",
    context: {
      requestId: "takeover",
      requestName: "takeover",
      className: "takeover",
      member: "",
      tenant: "",
      remainingMs: ACKNOWLEDGE_TIMEOUT_MS,
      retryAllowance: 0,
      depth: 0,
      isRepeatable: true,
      isBulk: false,
    },
    service: "celeryhollow",
    method: "PUT",
    path: "/",
    contentType: "",
    bodyLengthBytes,
  };
}

function createHandedOutcome(
  { keys }: CallEnvironment,
  key: UsedKey,
): HandedOutcome {
  const { holder, sequence, outcome } = key;
  return {
    ...{ holder, sequence, issuedAtMs: keys.issuedAtMs(key) },
    ...convertResult(outcome.settled),
  };
}

function convertResult(settled: CallResult | undefined) {
  const emptyAnswer = {
    reason: "",
    status: 0,
    contentType: "",
    body: EMPTY_BODY,
  };
  if (!settled) {
    return { ...emptyAnswer, state: "running" as const };
  }
  if (settled.isErr()) {
    const { kind, reason } = settled.error;
    return { ...emptyAnswer, state: kind, reason };
  }
  const { status, contentType, body } = settled.value;
  const state = "answered" as const;
  return { ...emptyAnswer, state, status, contentType, body };
}

function recordUnacknowledgedHandover(
  { journal, log }: CallEnvironment,
  { incarnation }: MemberRecord,
  handover: KeyHandover,
): void {
  const facts = {
    successor: incarnation,
    usedKeys: handover.outcomes.length,
    isAcknowledged: false,
  };
  journal.record(DECISIONS.keyHandOver, facts);
  log.warn(facts, "key-hand-over-unacknowledged");
}

function recordHandover(
  { journal, log }: CallEnvironment,
  { incarnation }: MemberRecord,
  handover: KeyHandover,
): void {
  const usedKeys = handover.outcomes.length;
  journal.record(DECISIONS.keyHandOver, { successor: incarnation, usedKeys });
  log.info({ successor: incarnation, usedKeys }, "keys-handed-over");
}
