/**
 * Body of a response while it is received.
 *
 * Memory is reserved before the body is read on, for the stated length or in
 * growing steps. While there is no room, nothing is read from the connection.
 */

import { Buffer } from "node:buffer";
import type { CallSignal } from "../cancellation/mod.ts";
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
  readonly #parts: Buffer[] = [];
  /** Body of a stated length; parts are copied, as each may be a view of a larger buffer. */
  #whole: Buffer | undefined;
  #reservedBytes = 0;
  /** Number of bytes received. */
  lengthBytes = 0;
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

  /** Adds a part. */
  add(reader: PausableReader, part: Buffer): void {
    const offsetBytes = this.lengthBytes;
    this.lengthBytes += part.length;
    // Allocated with the first part after memory has been reserved.
    const { statedBytes = 0 } = this.#options;
    if (statedBytes > FIRST_STEP_BYTES && !this.isWaiting && !this.#whole) {
      this.#whole = Buffer.allocUnsafeSlow(statedBytes);
      Buffer.concat(this.#parts.splice(0)).copy(this.#whole);
    }
    if (this.#whole && this.lengthBytes <= this.#whole.length) {
      part.copy(this.#whole, offsetBytes);
    } else {
      // A copy, since the part is valid during the call only.
      this.#parts.push(Buffer.from(part));
    }
    if (
      this.#options.statedBytes === undefined &&
      this.lengthBytes > this.#reservedBytes
    ) {
      this.#reserve(reader, Math.max(FIRST_STEP_BYTES, this.#reservedBytes));
    }
  }

  /** Returns the body. */
  concatenate(): Buffer {
    const [first] = this.#parts;
    return this.#whole?.subarray(0, this.lengthBytes) ??
      (first && this.#parts.length === 1 ? first : Buffer.concat(this.#parts));
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
