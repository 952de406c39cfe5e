/**
 * Hand-over of the keys held here when the daemon stops.
 *
 * The daemon stops using its keys, sends them to one successor and waits for
 * the acknowledgement. Dispatches in progress go on here; their outcomes
 * follow in a second message. A successor that may have the keys but has not
 * acknowledged is asked again; nobody else is given them.
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
import { callUntilDeadline } from "./call_until_deadline.ts";

/** Time in which one successor has to acknowledge, in milliseconds. */
const ACKNOWLEDGE_TIMEOUT_MS = 5_000;

/** Pause before the same successor is asked again, in milliseconds. */
const OFFER_INTERVAL_MS = 50;

/** Successors that are tried one after the other. */
const MAX_CANDIDATES = 4;

const EMPTY_BODY = new Uint8Array(0);

/** What became of an offer that was not acknowledged. */
type OfferFailure = "not-taken" | "unsure";

/**
 * Hands the keys over to a successor.
 *
 * @param environment - The daemon's parts
 * @returns A function that sends the outcomes of the dispatches that were in progress, once they are known
 *
 * @example
 * const sendLateOutcomes = await handOverKeys(environment);
 */
export async function handOverKeys(
  environment: CallEnvironment,
): Promise<() => Promise<void>> {
  const { keyPlacement, keys, membership } = environment;
  const nothing = () => Promise.resolve();
  const candidates = listCandidates(environment);
  if (keyPlacement.state !== PLACEMENTS.here || candidates.length === 0) {
    return nothing;
  }
  keyPlacement.beginHandOver();
  const used = keys.listUsedKeys();
  const outcomes = used.map((key) => describeOutcome(environment, key));
  const handover = { holders: keys.holders, outcomes };
  for (const candidate of candidates) {
    const offered = await offerKeys(environment, candidate, handover);
    if (offered.isOk()) {
      keyPlacement.completeHandOver(candidate.incarnation);
      membership.updateSelf({ successor: candidate.incarnation });
      recordHandOver(environment, candidate, handover);
      const running = used.filter(({ outcome }) => !outcome.settled);
      return () => sendLateOutcomes(environment, candidate, running);
    }
    if (offered.error === "unsure") {
      keyPlacement.markLost();
      recordLoss(environment, candidate, handover);
      return nothing;
    }
  }
  keyPlacement.cancelHandOver();
  return nothing;
}

/** Members that may succeed, the nearest first and of these the latest started. */
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
  const message = createTakeover(body.length);
  const deadlineAtMs = clock.monotonicMs() + ACKNOWLEDGE_TIMEOUT_MS;
  const { signal } = new CallController();
  let isSent = false;
  while (clock.monotonicMs() < deadlineAtMs) {
    const { result, trace } = await callUntilDeadline(
      peers.get(candidate),
      clock,
      { message, body, deadlineAtMs, signal },
    );
    if (trace.isReplied) {
      return result.map(() => undefined).mapErr(() =>
        isSent ? "unsure" : "not-taken" // An earlier message may still arrive.
      );
    }
    isSent ||= trace.isSent;
    const isGone = membership.find(candidate.incarnation)?.state !== "alive";
    if (!isSent || isGone) {
      break;
    }
    await clock.sleep(OFFER_INTERVAL_MS);
  }
  return err(isSent ? "unsure" : "not-taken");
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
    return describeOutcome(environment, {
      ...key,
      outcome: { ...key.outcome, settled },
    });
  }));
  await offerKeys(environment, successor, { holders: [], outcomes });
}

function createTakeover(bodyLengthBytes: number): CallWithoutId {
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

function describeOutcome(
  { keys }: CallEnvironment,
  key: UsedKey,
): HandedOutcome {
  const { holder, sequence, outcome } = key;
  return {
    ...{ holder, sequence, issuedAtMs: keys.issuedAtMs(key) },
    ...describeResult(outcome.settled),
  };
}

function describeResult(settled: CallResult | undefined) {
  const nothing = { reason: "", status: 0, contentType: "", body: EMPTY_BODY };
  if (!settled) {
    return { ...nothing, state: "running" as const };
  }
  if (settled.isErr()) {
    const { kind, reason } = settled.error;
    return { ...nothing, state: kind, reason };
  }
  const { status, contentType, body } = settled.value;
  const state = "answered" as const;
  return { ...nothing, state, status, contentType, body };
}

function recordLoss(
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

function recordHandOver(
  { journal, log }: CallEnvironment,
  { incarnation }: MemberRecord,
  handover: KeyHandover,
): void {
  const usedKeys = handover.outcomes.length;
  journal.record(DECISIONS.keyHandOver, { successor: incarnation, usedKeys });
  log.info({ successor: incarnation, usedKeys }, "keys-handed-over");
}
