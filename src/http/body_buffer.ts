/**
 * Collection of a body from parts of any size.
 *
 * Each part would keep an object of its own alive, which costs a hundred bytes and
 * more, and some keep the larger buffer that they are a view of. So parts are
 * copied into blocks, and what is held is close to the number of bytes.
 */

import { Buffer } from "node:buffer";

/** Sizes of the blocks of a body whose length is not known, in bytes; each block is twice as large as the one before. */
const BLOCK_BYTES = { first: 1_024, largest: 65_536 } as const;

const EMPTY = new Uint8Array(0);

/** Collects the parts of one body. */
export class BodyBuffer {
  /** Filled blocks, and the one that is being filled at the end. */
  readonly #blocks: Buffer[] = [];
  /** Number of bytes used in the last block. */
  #usedBytes = 0;
  #lengthBytes = 0;

  /** Number of bytes collected. */
  get lengthBytes(): number {
    return this.#lengthBytes;
  }

  /** Adds a copy of a part. */
  add(part: Uint8Array): void {
    let rest = part;
    while (rest.length > 0) {
      const block = this.#findBlock(rest.length);
      const roomBytes = block.length - this.#usedBytes;
      const fits = rest.length <= roomBytes;
      block.set(fits ? rest : rest.subarray(0, roomBytes), this.#usedBytes);
      this.#usedBytes += Math.min(rest.length, roomBytes);
      rest = fits ? EMPTY : rest.subarray(roomBytes);
    }
    this.#lengthBytes += part.length;
  }

  /** Makes room for a number of bytes in one block, so that they need not be copied together later. */
  allocate(lengthBytes: number): void {
    if (lengthBytes === 0) {
      return;
    }
    const collected = this.toBuffer();
    this.clear();
    this.#blocks.push(Buffer.allocUnsafe(lengthBytes));
    this.add(collected);
  }

  /** Forgets all parts. */
  clear(): void {
    this.#blocks.length = 0;
    this.#usedBytes = 0;
    this.#lengthBytes = 0;
  }

  /** Returns the body. */
  toBuffer(): Buffer {
    const [first] = this.#blocks;
    return first && this.#blocks.length === 1
      ? first.subarray(0, this.#lengthBytes)
      : Buffer.concat(this.#blocks, this.#lengthBytes);
  }

  /** Returns a block with room; a new one has the size of the part if that fits better. */
  #findBlock(neededBytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#usedBytes < last.length) {
      return last;
    }
    const { first, largest } = BLOCK_BYTES;
    const nextBytes = last ? Math.min(largest, 2 * last.length) : first;
    const block = Buffer.allocUnsafe(Math.max(nextBytes, neededBytes));
    this.#blocks.push(block);
    this.#usedBytes = 0;
    return block;
  }
}
