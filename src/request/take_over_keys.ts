/**
 * Takes over the idempotency keys of a daemon that stops.
 */

import { decode } from "cbor-x";
import { err, ok } from "neverthrow";
import type { HandedOutcome, KeyHandover } from "../generated/types.ts";
import { validateKeyHandover } from "../generated/validators.ts";
import { PLACEMENTS } from "../idempotency/mod.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { Answer, CallResult, Reason } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { CallEnvironment } from "./call_environment.ts";

const ACKNOWLEDGEMENT: Answer = {
  status: 200,
  contentType: "",
  body: new Uint8Array(0),
  unusedAllowance: 0,
  loads: [],
};

/**
 * Takes over keys; idempotent, since the same message may be received again.
 *
 * @param environment - Components of the daemon
 * @param body - The encoded handover
 * @returns An answer if the keys are held here, otherwise a refusal
 *
 * @example
 * return takeOverKeys(environment, body);
 */
export function takeOverKeys(
  environment: CallEnvironment,
  body: Uint8Array,
): CallResult {
  const { journal, keyPlacement, keys } = environment;
  const handover = decodeHandover(body);
  if (!handover) {
    return err(createRefusal(REASONS.invalidRequest));
  }
  const { holders, outcomes } = handover;
  const isDuplicate = holders.length > 0 &&
    holders.every(({ holder }) => keys.holds(holder));
  if (isDuplicate) {
    return ok(ACKNOWLEDGEMENT);
  }
  if (keyPlacement.state !== PLACEMENTS.here) {
    return err(createRefusal(REASONS.leaving));
  }
  if (!keys.hasCapacityFor(outcomes.length)) {
    return err(createRefusal(REASONS.keyLedgerFull));
  }
  holders.forEach(({ holder, nowMs }) => keys.adoptHolder(holder, nowMs));
  outcomes.forEach((outcome) =>
    keys.adoptOutcome(outcome, convertOutcome(outcome))
  );
  journal.record(DECISIONS.keyTakeover, {
    holders: holders.map(({ holder }) => holder).join(" "),
    usedKeys: outcomes.length,
  });
  return ok(ACKNOWLEDGEMENT);
}

function decodeHandover(body: Uint8Array): KeyHandover | undefined {
  try {
    const handover: unknown = decode(body);
    return validateKeyHandover(handover) ? handover : undefined;
  } catch {
    return undefined;
  }
}

function convertOutcome(outcome: HandedOutcome): CallResult | undefined {
  const { status, contentType } = outcome;
  const reason = outcome.reason as Reason;
  switch (outcome.state) {
    case "running":
      return undefined;
    case "answered": {
      const body = outcome.body as Uint8Array;
      return ok({ ...ACKNOWLEDGEMENT, status, contentType, body });
    }
    case "refused":
      return err(createRefusal(reason));
    case "unknown":
      return err(createUnknownOutcome(reason));
  }
}
