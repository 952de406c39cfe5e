/**
 * HTTP API for callers: calls and idempotency keys.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { err } from "neverthrow";
import { HEADERS } from "../constants/mod.ts";
import { HeldMemory } from "../memory/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallFailure } from "../outcome/mod.ts";
import { serveEntryCall } from "../request/mod.ts";
import type { ActiveCall, CallEnvironment } from "../request/mod.ts";
import { createCallResponse } from "./create_call_response.ts";
import { parseEntryCall } from "./parse_entry_call.ts";
import { readBody } from "./read_body.ts";

/** Maximum number of keys issued per request. */
const MAX_KEYS = 100;

/** Longest wait for memory for a body, in milliseconds. */
const MAX_BODY_WAIT_MS = 750;

const CALL_PREFIX = "/call";

/** Reasons of refusals after which the caller must use a new key, which the response then carries. */
const NEW_KEY_REASONS: ReadonlySet<string> = new Set([
  REASONS.keyRequired,
  REASONS.keyExpired,
  REASONS.keyHolderGone,
]);

/**
 * Creates the HTTP application that serves callers.
 *
 * @param environment - Components of the daemon
 * @returns The Hono application
 *
 * @example
 * serve({ fetch: createCallerApp(environment).fetch, port: settings.callerPort });
 */
export function createCallerApp(environment: CallEnvironment): Hono {
  const app = new Hono();
  app.post("/keys", (context) => issueKeys(environment, context));
  app.all(
    `${CALL_PREFIX}/*`,
    (context) => serveHttpCall(environment, context, undefined),
  );
  app.onError((error) => handleUnexpectedError(environment, error));
  return app;
}

/**
 * Handles an HTTP request that makes a call.
 *
 * @param environment - Components of the daemon
 * @param context - The HTTP request
 * @param parent - The running call of which this is a nested call, if any
 * @returns The response
 *
 * @example
 * app.all("/call/*", (context) => serveHttpCall(environment, context, undefined));
 */
export async function serveHttpCall(
  environment: CallEnvironment,
  context: Context,
  parent: ActiveCall | undefined,
): Promise<Response> {
  const request = context.req.raw;
  const requestId = request.headers.get(HEADERS.requestId) ?? "";
  const memory = new HeldMemory(environment.memory);
  const body = await readBody(request, {
    maxBytes: environment.settings.maxBodyBytes,
    ...{ memory, signal: request.signal, maxWaitMs: MAX_BODY_WAIT_MS },
  });
  if (body.isErr()) {
    memory.release();
    const retryAfterMs = body.error === REASONS.memoryFull
      ? memory.budget.estimateWaitMs(0)
      : 0;
    const refusal = createRefusal(body.error, { retryAfterMs });
    return createCallResponse(err(refusal), requestId);
  }
  const entry = parseEntryCall({
    method: request.method,
    target: request.url.slice(
      request.url.indexOf(CALL_PREFIX) + CALL_PREFIX.length,
    ),
    headers: request.headers,
    body: body.value,
    memory,
    signal: request.signal,
  });
  if (entry.isErr()) {
    environment.log.warn({
      requestId: requestId.slice(0, 128),
      reason: REASONS.invalidRequest,
    }, "request-invalid");
    memory.release();
    return createCallResponse(err(entry.error), requestId);
  }
  const result = await serveEntryCall(environment, { ...entry.value, parent });
  memory.release();
  const response = createCallResponse(result, entry.value.requestId);
  if (result.isErr() && needsNewKey(result.error)) {
    response.headers.set(HEADERS.idempotencyKey, environment.keys.issueKey());
  }
  return response;
}

function needsNewKey({ kind, reason }: CallFailure): boolean {
  return kind === "refused" && NEW_KEY_REASONS.has(reason);
}

function issueKeys(environment: CallEnvironment, context: Context): Response {
  const count = Number(context.req.query("count") ?? 1);
  if (!Number.isInteger(count) || count < 1 || count > MAX_KEYS) {
    return context.json({
      error: `count must be a whole number from 1 to ${MAX_KEYS}`,
    }, 400);
  }
  return context.json({
    keys: Array.from({ length: count }, () => environment.keys.issueKey()),
  });
}

function handleUnexpectedError(
  environment: CallEnvironment,
  error: Error,
): Response {
  environment.log.error(
    { error: error.message, stack: error.stack ?? "" },
    "invariant-broken",
  );
  return Response.json({ outcome: "unknown", reason: "internal" }, {
    status: 500,
    headers: { [HEADERS.outcome]: "unknown" },
  });
}
