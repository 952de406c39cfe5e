/**
 * Collecting of message bodies with a size limit.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { AcquireOptions, HeldMemory } from "../memory/mod.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";
import { BodyBuffer } from "./body_buffer.ts";

/** First step of a reservation, in bytes; each later one doubles what is reserved. */
const FIRST_STEP_BYTES = 65_536;

/** Options of {@link collectBody}. */
export interface CollectBodyOptions extends AcquireOptions {
  /** Maximum size of the body, in bytes. */
  readonly maxBytes: number;
  /** Memory that the body counts against. */
  readonly memory: HeldMemory;
}

/**
 * Collects a body. Reserves memory in growing steps, and reads on only while
 * there is room; stops as soon as the body exceeds the limit.
 *
 * @param body - Parts of the body; reading errors are thrown
 * @param options - Size limit, memory, and a signal that ends a wait for memory
 * @returns The body, or `bodyTooLarge` or `memoryFull`
 *
 * @example
 * const body = await collectBody(response.body, { maxBytes, memory, signal });
 */
export async function collectBody(
  body: AsyncIterable<Uint8Array>,
  options: CollectBodyOptions,
): Promise<Result<Uint8Array, Reason>> {
  const { maxBytes, memory } = options;
  const collected = new BodyBuffer();
  let reservedBytes = 0;
  for await (const part of body) {
    const lengthBytes = collected.lengthBytes + part.length;
    if (lengthBytes > maxBytes) {
      return err(REASONS.bodyTooLarge);
    }
    collected.add(part);
    if (lengthBytes > reservedBytes) {
      const stepBytes = Math.max(
        FIRST_STEP_BYTES,
        reservedBytes,
        lengthBytes - reservedBytes,
      );
      reservedBytes += stepBytes;
      if (!await memory.reserve(stepBytes, options)) {
        return err(REASONS.memoryFull);
      }
    }
  }
  return ok(collected.toBuffer());
}
