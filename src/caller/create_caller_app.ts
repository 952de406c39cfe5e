/**
 * The HTTP interface for callers.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { err } from "neverthrow";
import { HEADERS } from "../constants/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallFailure } from "../outcome/mod.ts";
import { serveEntryCall } from "../request/mod.ts";
import type { ActiveCall, CallEnvironment } from "../request/mod.ts";
import { createCallResponse } from "./create_call_response.ts";
import { parseEntryCall } from "./parse_entry_call.ts";
import { readBody } from "./read_body.ts";

/** Keys that one request may ask for. */
const MAX_KEYS = 100;

const CALL_PREFIX = "/call";

/** Refusals after which the caller goes on with another key. */
const FRESH_KEY_REASONS: ReadonlySet<string> = new Set([
  REASONS.keyRequired,
  REASONS.keyExpired,
  REASONS.keyHolderGone,
]);

/**
 * Creates the application that callers reach.
 *
 * @param environment - The daemon's parts
 * @returns The application
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
  app.onError((error) => reportUnexpected(environment, error));
  return app;
}

/**
 * Serves one HTTP request that is a call.
 *
 * @param environment - The daemon's parts
 * @param context - The HTTP request
 * @param parent - The running call that makes this one, if any
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
  const body = await readBody(request, environment.settings.maxBodyBytes);
  if (body.isErr()) {
    return createCallResponse(err(createRefusal(body.error)), requestId);
  }
  const entry = parseEntryCall({
    method: request.method,
    target: request.url.slice(
      request.url.indexOf(CALL_PREFIX) + CALL_PREFIX.length,
    ),
    headers: request.headers,
    body: body.value,
    signal: request.signal,
  });
  if (entry.isErr()) {
    environment.log.warn({
      requestId: requestId.slice(0, 128),
      reason: REASONS.invalidRequest,
    }, "request-invalid");
    return createCallResponse(err(entry.error), requestId);
  }
  const result = await serveEntryCall(environment, { ...entry.value, parent });
  const response = createCallResponse(result, entry.value.requestId);
  if (result.isErr() && needsFreshKey(result.error)) {
    response.headers.set(HEADERS.idempotencyKey, environment.keys.issueKey());
  }
  return response;
}

function needsFreshKey({ kind, reason }: CallFailure): boolean {
  return kind === "refused" && FRESH_KEY_REASONS.has(reason);
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

function reportUnexpected(
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
