/**
 * Reassembly of message bodies that are sent in several chunks.
 */

import { Buffer } from "node:buffer";

/** Collects the chunks of one body, which must arrive in order and without gaps. */
export class BodyAssembler {
  readonly #expectedBytes: number;
  /** Allocated with the first chunk; chunks are copied, as each is a view of a larger buffer that it would keep alive. */
  #body: Buffer | undefined;
  #receivedBytes = 0;

  constructor(expectedBytes: number) {
    this.#expectedBytes = expectedBytes;
  }

  /** Whether all expected bytes have been received. */
  get isComplete(): boolean {
    return this.#receivedBytes === this.#expectedBytes;
  }

  /** Appends a chunk. Returns false if it is out of order or exceeds the expected length. */
  add(offsetBytes: number, chunk: Uint8Array): boolean {
    const endBytes = offsetBytes + chunk.length;
    if (offsetBytes !== this.#receivedBytes || endBytes > this.#expectedBytes) {
      return false;
    }
    this.#body ??= Buffer.allocUnsafeSlow(this.#expectedBytes);
    this.#body.set(chunk, offsetBytes);
    this.#receivedBytes = endBytes;
    return true;
  }

  /** Returns the received chunks as one array. */
  concatenate(): Uint8Array {
    return this.#body ?? Buffer.alloc(0);
  }
}
