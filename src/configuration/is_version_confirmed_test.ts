import * as assert from "uvu/assert";
import { suite } from "uvu";
import { isVersionConfirmed, PEER_WAIT_TIMEOUT_MS } from "./confirmation.ts";
import type { ConfirmationInput } from "./confirmation.ts";

const test = suite("confirmation of the own version");

function createInput(changes: Partial<ConfirmationInput>): ConfirmationInput {
  return {
    localVersion: 7,
    storeVersion: 0,
    peerVersions: [],
    elapsedMs: PEER_WAIT_TIMEOUT_MS,
    ...changes,
  };
}

test("the store or several peers confirm", () => {
  assert.ok(isVersionConfirmed(createInput({ storeVersion: 7 })));
  const peerVersions = [7, 6, 7];
  assert.ok(isVersionConfirmed(createInput({ peerVersions, elapsedMs: 0 })));
});

test("few peers confirm only after more had time to be heard", () => {
  const peerVersions = [7];
  assert.not(
    isVersionConfirmed(createInput({ peerVersions, elapsedMs: 100 })),
  );
  assert.ok(isVersionConfirmed(createInput({ peerVersions })));
});

test("one higher version, wherever it was heard, denies", () => {
  const peerVersions = [7, 8, 7, 7];
  assert.not(
    isVersionConfirmed(createInput({ storeVersion: 7, peerVersions })),
  );
  assert.not(
    isVersionConfirmed(createInput({ storeVersion: 8, peerVersions: [7] })),
  );
});

test("nobody confirms nothing", () => {
  assert.not(isVersionConfirmed(createInput({})));
  assert.not(
    isVersionConfirmed(createInput({ localVersion: 0, peerVersions: [] })),
  );
});

test.run();
