/**
 * Parsing and validation of calls from HTTP requests.
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
import type { HeldMemory } from "../memory/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { EntryCall } from "../request/mod.ts";

/** The parts of an HTTP request from which a call is parsed. */
export interface HttpCall {
  readonly method: string;
  /** Path and query after the `/call` prefix. */
  readonly target: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly memory: HeldMemory;
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
 * Parses and validates a call, so that malformed requests are refused before they run.
 *
 * @param http - The HTTP request
 * @returns The call, without its parent, or an `invalidRequest` refusal
 *
 * @example
 * const entry = parseEntryCall({ method, target, headers, body, signal });
 */
export function parseEntryCall(http: HttpCall): Result<EntryCall, Refusal> {
  const readHeader = (name: string) => http.headers.get(name) ?? "";
  const hasOversizedHeader = Object.values(HEADERS).some((name) =>
    readHeader(name).length > MAX_HEADER_VALUE_BYTES
  );
  const [, encodedService = "", pathAndQuery = ""] =
    /^\/([^/?]+)(.*)$/s.exec(http.target) ??
      [];
  const service = decodeSegment(encodedService);
  const requestId = readHeader(HEADERS.requestId);
  const deadlineMs = readHeader(HEADERS.deadlineMs) === ""
    ? undefined
    : Number(readHeader(HEADERS.deadlineMs));
  const isValid = !hasOversizedHeader && METHODS.has(http.method) &&
    service !== "" &&
    pathAndQuery.length <= MAX_PATH_BYTES &&
    (requestId === "" || REQUEST_ID.test(requestId)) &&
    isValidDeadline(deadlineMs) &&
    readHeader(HEADERS.member).length <= MAX_MEMBER_LENGTH;
  if (!isValid) {
    return err(createRefusal(REASONS.invalidRequest));
  }
  return ok({
    service,
    method: http.method,
    path: pathAndQuery.startsWith("/") ? pathAndQuery : `/${pathAndQuery}`,
    contentType: readHeader("content-type").slice(0, 256),
    body: http.body,
    memory: http.memory,
    requestId: requestId === "" ? randomUUID() : requestId,
    idempotencyKey: readHeader(HEADERS.idempotencyKey),
    attempt: parseAttempt(readHeader(HEADERS.attempt)),
    member: readHeader(HEADERS.member),
    tenant: readHeader(HEADERS.tenant).slice(0, 64),
    deadlineMs,
    isMarkedNonRepeatable: readHeader(HEADERS.nonRepeatable) === "true",
    parent: undefined,
    signal: http.signal,
  });
}

/** Decodes a percent-encoded segment; returns an empty string if the encoding is invalid. */
function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return "";
  }
}

function parseAttempt(text: string): number {
  return /^[1-9]\d{0,5}$/.test(text) ? Number(text) : 0;
}

function isValidDeadline(deadlineMs: number | undefined): boolean {
  return deadlineMs === undefined ||
    (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS);
}
