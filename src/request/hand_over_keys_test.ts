import { err } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { KeyLedger, KeyPlacement } from "../idempotency/mod.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallFailure, CallResult } from "../outcome/mod.ts";
import type { PeerCallOptions } from "../peer/mod.ts";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import { createMemberRecord } from "../testing/create_member_record.ts";
import { SharedMembership } from "../testing/fault_injection/shared_membership.ts";
import type { Directory } from "../testing/fault_injection/shared_membership.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { handOverKeys } from "./hand_over_keys.ts";

/** Hands keys over where each candidate replies with a failure, and returns the candidates that were sent them. */
async function handOver(failure: CallFailure) {
  const clock = new ManualClock();
  const directory: Directory = new Map();
  const membership = new SharedMembership(directory, createMemberRecord("own"));
  ["one", "two"].forEach((name) =>
    directory.set(name, createMemberRecord(name))
  );
  const keyPlacement = new KeyPlacement();
  const asked: string[] = [];
  const get = ({ incarnation }: { incarnation: string }) => ({
    call: (
      _message: unknown,
      _body: unknown,
      { progress }: PeerCallOptions,
    ): Promise<CallResult> => {
      asked.push(incarnation);
      Object.assign(progress ?? {}, { isSent: true, isReplied: true });
      return Promise.resolve(err(failure));
    },
  });
  const environment = {
    ...{ clock, membership, keyPlacement, peers: { get } },
    keys: new KeyLedger({ incarnation: "own", fleetToken: "token", clock }),
    journal: new DecisionJournal(clock),
    log: createSilentLogger(),
  } as unknown as CallEnvironment;
  await handOverKeys(environment);
  return { asked, state: keyPlacement.state };
}

// Guards against two holders of the same keys: a successor that failed within the takeover may hold some of them.
test("keys are offered to nobody else after a reply that does not prove a refusal", async () => {
  const { asked, state } = await handOver(
    createUnknownOutcome(REASONS.backendFailed),
  );
  assert.is(asked.length, 1);
  assert.is(state, "lost");
});

test("keys that every candidate refuses stay here", async () => {
  const { asked, state } = await handOver(createRefusal(REASONS.leaving));
  assert.equal(asked.sort(), ["one", "two"]);
  assert.is(state, "here");
});

test.run();
