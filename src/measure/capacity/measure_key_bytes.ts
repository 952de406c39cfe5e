/**
 * Measures the memory that used idempotency keys occupy in the daemon that holds
 * them.
 */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ok } from "neverthrow";
import { KeyLedger } from "../../idempotency/mod.ts";
import { ManualClock } from "../../testing/manual_clock.ts";

/** Memory used by a ledger with a given number of keys. */
export interface KeySample {
  readonly keys: number;
  readonly heapBytes: number;
}

const RESPONSE_BYTES = 200;

/**
 * Measures the heap and array buffers of ledgers that remember a 200-byte
 * response for each key.
 *
 * @param counts - Numbers of keys to measure
 * @returns One sample per number of keys
 *
 * @example
 * const samples = await measureKeyBytes([5_000, 10_000]);
 */
export async function measureKeyBytes(
  counts: readonly number[],
): Promise<KeySample[]> {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  const samples: KeySample[] = [];
  for (const keys of counts) {
    collectGarbage();
    const before = readMemoryBytes();
    const ledger = await fillLedger(keys);
    collectGarbage();
    samples.push({ keys: ledger.size, heapBytes: readMemoryBytes() - before });
  }
  return samples;
}

async function fillLedger(keys: number): Promise<KeyLedger> {
  const clock = new ManualClock();
  const incarnation = "10.0.0.1:7102/holder";
  const ledger = new KeyLedger({ incarnation, fleetToken: "token", clock });
  for (let sequence = 1; sequence <= keys; sequence += 1) {
    const key = { holder: incarnation, issuedAtMs: clock.nowMs(), sequence };
    await ledger.runOnce(key, {
      attempt: 0,
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
  return ledger;
}

function readMemoryBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
