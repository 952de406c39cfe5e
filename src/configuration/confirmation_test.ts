import * as assert from "uvu/assert";
import { suite } from "uvu";
import { isVersionConfirmed, PEER_WAIT_MS } from "./confirmation.ts";
import type { ConfirmationFacts } from "./confirmation.ts";

const test = suite("confirmation of the own version");

function createFacts(changes: Partial<ConfirmationFacts>): ConfirmationFacts {
  return {
    ownVersion: 7,
    storeVersion: 0,
    peerVersions: [],
    elapsedMs: PEER_WAIT_MS,
    ...changes,
  };
}

test("the store or several peers confirm", () => {
  assert.ok(isVersionConfirmed(createFacts({ storeVersion: 7 })));
  const peerVersions = [7, 6, 7];
  assert.ok(isVersionConfirmed(createFacts({ peerVersions, elapsedMs: 0 })));
});

test("few peers confirm only after more had time to be heard", () => {
  const peerVersions = [7];
  assert.not(
    isVersionConfirmed(createFacts({ peerVersions, elapsedMs: 100 })),
  );
  assert.ok(isVersionConfirmed(createFacts({ peerVersions })));
});

test("one higher version, wherever it was heard, denies", () => {
  const peerVersions = [7, 8, 7, 7];
  assert.not(
    isVersionConfirmed(createFacts({ storeVersion: 7, peerVersions })),
  );
  assert.not(
    isVersionConfirmed(createFacts({ storeVersion: 8, peerVersions: [7] })),
  );
});

test("nobody confirms nothing", () => {
  assert.not(isVersionConfirmed(createFacts({})));
  assert.not(
    isVersionConfirmed(createFacts({ ownVersion: 0, peerVersions: [] })),
  );
});

test.run();
