/**
 * Assembly of bodies that arrive in chunks.
 */

import { Buffer } from "node:buffer";

/** Collects the chunks of one body; it is whole only when every byte arrived in order. */
export class BodyAssembler {
  readonly #expectedBytes: number;
  readonly #parts: Uint8Array[] = [];
  #receivedBytes = 0;

  constructor(expectedBytes: number) {
    this.#expectedBytes = expectedBytes;
  }

  /** Whether every byte has arrived. */
  get isWhole(): boolean {
    return this.#receivedBytes === this.#expectedBytes;
  }

  /** Adds the next part; false when it is out of order or too long. */
  add(offsetBytes: number, part: Uint8Array): boolean {
    const endBytes = offsetBytes + part.length;
    if (offsetBytes !== this.#receivedBytes || endBytes > this.#expectedBytes) {
      return false;
    }
    this.#parts.push(part);
    this.#receivedBytes = endBytes;
    return true;
  }

  /** The whole body. */
  concatenate(): Uint8Array {
    return this.#parts.length === 1 && this.#parts[0]
      ? this.#parts[0]
      : Buffer.concat(this.#parts);
  }
}
