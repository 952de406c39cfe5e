/**
 * Reading of request bodies with a size limit.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { collectBody } from "../http/collect_body.ts";
import { REASONS } from "../outcome/mod.ts";
import type { Reason } from "../outcome/mod.ts";

const EMPTY_BODY = new Uint8Array(0);

/**
 * Reads the complete body of a request.
 *
 * @param request - The HTTP request
 * @param maxBodyBytes - Maximum body size, in bytes
 * @returns The body, or the reason to refuse the request: `bodyTooLarge`, or `cancelled` if reading fails
 *
 * @example
 * const body = await readBody(request, settings.maxBodyBytes);
 */
export async function readBody(
  request: Request,
  maxBodyBytes: number,
): Promise<Result<Uint8Array, Reason>> {
  if (Number(request.headers.get("content-length") ?? 0) > maxBodyBytes) {
    return err(REASONS.bodyTooLarge);
  }
  if (request.method === "GET" || !request.body) {
    return ok(EMPTY_BODY);
  }
  try {
    const body = await collectBody(request.body, maxBodyBytes);
    return body ? ok(body) : err(REASONS.bodyTooLarge);
  } catch {
    return err(REASONS.cancelled);
  }
}
