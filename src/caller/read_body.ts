/**
 * Reading of request bodies with a size limit.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { collectBody } from "../http/collect_body.ts";
import type { CollectBodyOptions } from "../http/collect_body.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";

const EMPTY_BODY = new Uint8Array(0);

/**
 * Reads the complete body of a request.
 *
 * @param request - The HTTP request
 * @param options - Maximum body size, memory, and a signal that ends a wait for it
 * @returns The body, or the reason to refuse the request: `bodyTooLarge`,
 *   `memoryFull`, or `cancelled` if reading fails
 *
 * @example
 * const body = await readBody(request, { maxBytes: settings.maxBodyBytes, memory, signal });
 */
export async function readBody(
  request: Request,
  options: CollectBodyOptions,
): Promise<Result<Uint8Array, Reason>> {
  const statedBytes = Number(request.headers.get("content-length") ?? 0);
  if (statedBytes > options.maxBytes) {
    return err(REASONS.bodyTooLarge);
  }
  if (request.method === "GET" || !request.body) {
    return ok(EMPTY_BODY);
  }
  try {
    return await collectBody(request.body, options);
  } catch {
    return err(REASONS.cancelled);
  }
}
