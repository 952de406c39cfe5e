/**
 * Measures the memory that a key holder needs per used idempotency key.
 */

import process from "node:process";
import { ok } from "neverthrow";
import { decodeIdempotencyKey, KeyLedger } from "../../idempotency/mod.ts";
import { SystemClock } from "../../time/mod.ts";

const KEY_COUNT = 30_000;
const RESPONSE_BYTES = 64;
const FLEET_TOKEN = "measure-token";

/**
 * Uses many keys and measures the growth of the heap and of external memory.
 *
 * @returns Bytes per remembered key with a response of 64 bytes
 *
 * @example
 * const keyBytes = await measureKeyBytes();
 */
export async function measureKeyBytes(): Promise<number> {
  const ledger = new KeyLedger({
    incarnation: "127.0.0.1:7102/measured",
    fleetToken: FLEET_TOKEN,
    clock: new SystemClock(),
  });
  const beforeBytes = readUsedBytes();
  for (let count = 0; count < KEY_COUNT; count += 1) {
    const key = decodeIdempotencyKey(ledger.issueKey(), FLEET_TOKEN);
    await ledger.runOnce(key._unsafeUnwrap(), {
      attempt: 1,
      dispatch: () =>
        Promise.resolve(ok({
          status: 200,
          contentType: "application/json",
          body: new Uint8Array(RESPONSE_BYTES),
          unusedAllowance: 0,
          loads: [],
        })),
      resolveOutcome: () => undefined,
    });
  }
  return Math.round((readUsedBytes() - beforeBytes) / ledger.size);
}

function readUsedBytes(): number {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
