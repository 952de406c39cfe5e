/**
 * Sizes of the responses that a daemon expects, learned from earlier ones.
 *
 * Memory for a large response is reserved before the request runs, while it can
 * still be refused as not run. The expectation is the largest size seen lately,
 * since an average would admit too many whenever sizes vary. A larger size is
 * learned from the head of a response, long before its body is complete.
 */

import type { Answer } from "../outcome/mod.ts";
import { describeKind } from "./describe_kind.ts";
import type { OutboundCall } from "./outbound_call.ts";

/** Smallest size that is expected ahead, in bytes; smaller responses always find room soon. */
const MIN_EXPECTED_BYTES = 65_536;

/** Weight of the earlier maximum for each smaller response. */
const DECAY_RATIO = 0.9;

/** Maximum number of kinds of calls that are remembered. */
const MAX_KINDS = 2_000;

/** Lowest HTTP status that is no success. */
const MIN_ERROR_STATUS = 300;

/** Learns response sizes by request kind and service. */
export class ResponseSizes {
  readonly #bytesByKind = new Map<string, number>();

  /** Bulk kinds whose successful responses were small. */
  readonly #smallKinds = new Set<string>();
  readonly #onLearned: ((kind: string) => void)[] = [];

  /** Calls a function when the size of a kind becomes known or grows. */
  subscribe(notify: (kind: string) => void): void {
    this.#onLearned.push(notify);
  }

  /** Whether the size of the call's response is known, be it a small one. */
  isKnown(call: OutboundCall): boolean {
    const kind = describeKind(call);
    return this.#bytesByKind.has(kind) || this.#smallKinds.has(kind);
  }

  /** Learns the length that the head of a response states, if it is larger than expected. */
  learn(call: OutboundCall, bytes: number): void {
    if (bytes >= MIN_EXPECTED_BYTES && bytes > this.expect(call)) {
      this.#set(describeKind(call), bytes);
    }
  }

  /** Records a complete response. */
  record(
    call: OutboundCall,
    { status, body }: Pick<Answer, "status" | "body">,
  ): void {
    const kind = describeKind(call);
    const bytes = body.length;
    const expectedBytes = Math.max(
      bytes,
      (this.#bytesByKind.get(kind) ?? 0) * DECAY_RATIO,
    );
    if (expectedBytes >= MIN_EXPECTED_BYTES) {
      this.#set(kind, expectedBytes);
      return;
    }
    this.#bytesByKind.delete(kind);
    // An error's body tells nothing about the size of a download.
    if (call.context.isBulk && status < MIN_ERROR_STATUS) {
      this.#addSmall(kind);
    }
  }

  /** Returns the size to reserve for the response of a call, in bytes; 0 for small ones. */
  expect(call: OutboundCall): number {
    return Math.ceil(this.#bytesByKind.get(describeKind(call)) ?? 0);
  }

  #set(kind: string, bytes: number): void {
    const isLarger = bytes > (this.#bytesByKind.get(kind) ?? 0);
    this.#bytesByKind.delete(kind);
    this.#bytesByKind.set(kind, bytes);
    if (this.#bytesByKind.size > MAX_KINDS) {
      const [oldest = ""] = this.#bytesByKind.keys();
      this.#bytesByKind.delete(oldest);
    }
    if (isLarger) {
      this.#onLearned.forEach((notify) => notify(kind));
    }
  }

  #addSmall(kind: string): void {
    if (this.#smallKinds.has(kind)) {
      return;
    }
    this.#smallKinds.add(kind);
    if (this.#smallKinds.size > MAX_KINDS) {
      const [oldest = ""] = this.#smallKinds;
      this.#smallKinds.delete(oldest);
    }
    this.#onLearned.forEach((notify) => notify(kind));
  }
}
