/**
 * Reading of calls from HTTP requests.
 */

import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import {
  HEADERS,
  MAX_HEADER_VALUE_BYTES,
  MAX_PATH_BYTES,
} from "../constants/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { EntryCall } from "../request/mod.ts";

/** The parts of an HTTP request that a call is read from. */
export interface HttpCall {
  readonly method: string;
  /** Path and query behind `/call`. */
  readonly target: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly signal: CallSignal;
}

const METHODS: ReadonlySet<string> = new Set([
  "GET",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
]);
const REQUEST_ID = /^[\w.:-]{1,128}$/;
const MAX_MEMBER_LENGTH = 128;
const MAX_DEADLINE_MS = 600_000;

/**
 * Reads a call; anything malformed is refused before it can run.
 *
 * @param http - The request
 * @returns The call without its parent
 *
 * @example
 * const entry = parseEntryCall({ method, target, headers, body, signal });
 */
export function parseEntryCall(http: HttpCall): Result<EntryCall, Refusal> {
  const read = (name: string) => http.headers.get(name) ?? "";
  const isLong = Object.values(HEADERS).some((name) =>
    read(name).length > MAX_HEADER_VALUE_BYTES
  );
  const [, encoded = "", rest = ""] = /^\/([^/?]+)(.*)$/s.exec(http.target) ??
    [];
  const service = decodeSegment(encoded);
  const requestId = read(HEADERS.requestId);
  const deadlineMs = read(HEADERS.deadlineMs) === ""
    ? undefined
    : Number(read(HEADERS.deadlineMs));
  const isValid = !isLong && METHODS.has(http.method) && service !== "" &&
    rest.length <= MAX_PATH_BYTES &&
    (requestId === "" || REQUEST_ID.test(requestId)) &&
    isValidDeadline(deadlineMs) &&
    read(HEADERS.member).length <= MAX_MEMBER_LENGTH;
  if (!isValid) {
    return err(createRefusal(REASONS.invalidRequest));
  }
  return ok({
    service,
    method: http.method,
    path: rest.startsWith("/") ? rest : `/${rest}`,
    contentType: read("content-type").slice(0, 256),
    body: http.body,
    requestId: requestId === "" ? randomUUID() : requestId,
    idempotencyKey: read(HEADERS.idempotencyKey),
    attempt: readAttempt(read(HEADERS.attempt)),
    member: read(HEADERS.member),
    tenant: read(HEADERS.tenant).slice(0, 64),
    deadlineMs,
    isMarkedNonRepeatable: read(HEADERS.nonRepeatable) === "true",
    parent: undefined,
    signal: http.signal,
  });
}

/** The segment without percent-encoding; empty when the encoding is broken. */
function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return "";
  }
}

function readAttempt(text: string): number {
  return /^[1-9]\d{0,5}$/.test(text) ? Number(text) : 0;
}

function isValidDeadline(deadlineMs: number | undefined): boolean {
  return deadlineMs === undefined ||
    (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS);
}
