import * as assert from "uvu/assert";
import { suite } from "uvu";
import {
  isVersionConfirmed,
  PEER_WAIT_TIMEOUT_MS,
} from "./is_version_confirmed.ts";
import type { ConfirmationInput } from "./is_version_confirmed.ts";

const test = suite("confirmation of the local version");

function createInput(changes: Partial<ConfirmationInput>): ConfirmationInput {
  return {
    localVersion: 7,
    storeVersion: 0,
    peerVersions: [],
    elapsedMs: PEER_WAIT_TIMEOUT_MS,
    ...changes,
  };
}

test("the store or several peers confirm the version", () => {
  assert.ok(isVersionConfirmed(createInput({ storeVersion: 7 })));
  const peerVersions = [7, 6, 7];
  assert.ok(isVersionConfirmed(createInput({ peerVersions, elapsedMs: 0 })));
});

test("fewer peers confirm the version only after the wait timeout", () => {
  const peerVersions = [7];
  assert.not(
    isVersionConfirmed(createInput({ peerVersions, elapsedMs: 100 })),
  );
  assert.ok(isVersionConfirmed(createInput({ peerVersions })));
});

test("a higher version from any source prevents confirmation", () => {
  const peerVersions = [7, 8, 7, 7];
  assert.not(
    isVersionConfirmed(createInput({ storeVersion: 7, peerVersions })),
  );
  assert.not(
    isVersionConfirmed(createInput({ storeVersion: 8, peerVersions: [7] })),
  );
});

test("no version is confirmed without a source or without a configuration", () => {
  assert.not(isVersionConfirmed(createInput({})));
  assert.not(
    isVersionConfirmed(createInput({ localVersion: 0, peerVersions: [] })),
  );
});

test.run();
