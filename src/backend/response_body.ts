/**
 * Body of a response while it is received.
 *
 * Memory is reserved before the body is read on, for the stated length or in
 * growing steps. While there is no room, nothing is read from the connection.
 */

import type { Buffer } from "node:buffer";
import type { CallSignal } from "../cancellation/mod.ts";
import { BodyBuffer } from "../http/body_buffer.ts";
import { RESPONSE_RANK } from "../memory/mod.ts";
import type { HeldMemory } from "../memory/mod.ts";

/** First step of a reservation for a body without a stated length, in bytes; each later one doubles what is reserved. */
const FIRST_STEP_BYTES = 65_536;

/** Connection whose reading can be interrupted. */
export interface PausableReader {
  pause(): void;
  resume(): void;
}

/** Options of a {@link ResponseBody}. */
export interface ResponseBodyOptions {
  /** Memory of the call; without it, nothing is counted. */
  readonly memory: HeldMemory | undefined;
  readonly signal: CallSignal;
  /** Length that the response states, in bytes. */
  readonly statedBytes: number | undefined;
  /** Called if no memory can be reserved. */
  readonly fail: () => void;
}

/** Collects the parts of a body. */
export class ResponseBody {
  readonly #options: ResponseBodyOptions;
  readonly #collected = new BodyBuffer();
  #isAllocated = false;
  #reservedBytes = 0;
  /** Whether reading is interrupted until memory has been reserved; what had been read with the head then arrives nevertheless. */
  isWaiting = false;

  constructor(reader: PausableReader, options: ResponseBodyOptions) {
    this.#options = options;
    const { statedBytes = 0 } = options;
    if (statedBytes > 0) {
      options.memory?.reportResponseLength(statedBytes);
      this.#reserve(reader, statedBytes);
    }
  }

  /** Number of bytes received. */
  get lengthBytes(): number {
    return this.#collected.lengthBytes;
  }

  /** Adds a part. */
  add(reader: PausableReader, part: Buffer): void {
    const { statedBytes } = this.#options;
    // Allocated with the first part after memory has been reserved.
    if (statedBytes !== undefined && !this.isWaiting && !this.#isAllocated) {
      this.#isAllocated = true;
      this.#collected.allocate(statedBytes);
    }
    this.#collected.add(part);
    if (statedBytes === undefined && this.lengthBytes > this.#reservedBytes) {
      this.#reserve(reader, Math.max(FIRST_STEP_BYTES, this.#reservedBytes));
    }
  }

  /** Returns the body. */
  concatenate(): Buffer {
    return this.#collected.toBuffer();
  }

  #reserve(reader: PausableReader, bytes: number): void {
    const { memory, signal, fail } = this.#options;
    this.#reservedBytes += bytes;
    if (!memory || memory.tryReserve(bytes)) {
      return;
    }
    this.isWaiting = true;
    reader.pause();
    void memory.reserve(bytes, {
      signal,
      classRank: RESPONSE_RANK,
    }).then((isReserved) => {
      this.isWaiting = false;
      if (isReserved) {
        reader.resume();
      } else {
        fail();
      }
    });
  }
}
