/**
 * Sizes of the responses that a daemon expects, learned from earlier ones.
 *
 * Memory for a large response is reserved before the request runs, while it can
 * still be refused as not run. The expectation is the largest size seen lately,
 * since an average would admit too many whenever sizes vary.
 */

import type { OutboundCall } from "./outbound_call.ts";

/** Smallest size that is expected ahead, in bytes; smaller responses always find room soon. */
const MIN_EXPECTED_BYTES = 65_536;

/** Weight of the earlier maximum for each smaller response. */
const DECAY_RATIO = 0.9;

/** Maximum number of kinds of calls that are remembered. */
const MAX_KINDS = 2_000;

/** Learns response sizes by request kind and service. */
export class ResponseSizes {
  readonly #bytesByKind = new Map<string, number>();

  /** Records the size of a response. */
  record(call: OutboundCall, bytes: number): void {
    const kind = describeKind(call);
    const expectedBytes = Math.max(
      bytes,
      (this.#bytesByKind.get(kind) ?? 0) * DECAY_RATIO,
    );
    this.#bytesByKind.delete(kind);
    if (expectedBytes < MIN_EXPECTED_BYTES) {
      return;
    }
    this.#bytesByKind.set(kind, expectedBytes);
    if (this.#bytesByKind.size > MAX_KINDS) {
      const [oldest = ""] = this.#bytesByKind.keys();
      this.#bytesByKind.delete(oldest);
    }
  }

  /** Returns the size to reserve for the response of a call, in bytes; 0 for small ones. */
  expect(call: OutboundCall): number {
    return Math.ceil(this.#bytesByKind.get(describeKind(call)) ?? 0);
  }
}

function describeKind({ context, service }: OutboundCall): string {
  return `${context.requestName}/${service}`;
}
