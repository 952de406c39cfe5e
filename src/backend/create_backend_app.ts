/**
 * HTTP API for the backend server on this VM: announcements and nested calls.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { err } from "neverthrow";
import { createCallResponse, readBody, serveHttpCall } from "../caller/mod.ts";
import { ANNOUNCEMENT_RENEW_MS, HEADERS } from "../constants/mod.ts";
import { validateAnnouncement } from "../generated/validators.ts";
import { HeldMemory } from "../memory/mod.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";

/** Maximum size of an announcement, in bytes; real ones have a few hundred. */
const MAX_ANNOUNCEMENT_BYTES = 65_536;

/** Longest wait for memory for an announcement, in milliseconds. */
const MAX_BODY_WAIT_MS = 500;

const NO_BYTES = new Uint8Array(0);

/**
 * Creates the HTTP application that serves the backend server.
 *
 * @param environment - Components of the daemon
 * @param storeDeparture - Waits until the departure of the backend server is stored
 * @returns The Hono application
 *
 * @example
 * const app = createBackendApp(environment, context.storeDeparture);
 */
export function createBackendApp(
  environment: CallEnvironment,
  storeDeparture: () => Promise<void>,
): Hono {
  const app = new Hono();
  app.put("/backend/announcement", (context) => announce(environment, context));
  app.delete("/backend/announcement", async (context) => {
    environment.backend.leave();
    await storeDeparture();
    return context.json({ inProgress: environment.activeCalls.count });
  });
  app.all("/call/*", (context) => serveNestedCall(environment, context));
  return app;
}

async function announce(
  environment: CallEnvironment,
  context: Context,
): Promise<Response> {
  const announcement = await readJson(environment, context);
  if (!validateAnnouncement(announcement)) {
    const violation = validateAnnouncement.errors?.[0];
    const error = `announcement${violation?.instancePath ?? ""} ${
      violation?.message ?? "is not JSON"
    }`;
    environment.log.warn({ error }, "announcement-invalid");
    return context.json({ error }, 400);
  }
  environment.backend.announce(announcement);
  return context.json({ renewMs: ANNOUNCEMENT_RENEW_MS });
}

/** Reads the body of a request; undefined if it is too large or no JSON. */
async function readJson(
  environment: CallEnvironment,
  context: Context,
): Promise<unknown> {
  const memory = new HeldMemory(environment.memory);
  const body = await readBody(context.req.raw, {
    ...{ maxBytes: MAX_ANNOUNCEMENT_BYTES, maxWaitMs: MAX_BODY_WAIT_MS },
    ...{ memory, signal: context.req.raw.signal },
  });
  memory.release();
  try {
    return JSON.parse(new TextDecoder().decode(body.unwrapOr(NO_BYTES)));
  } catch {
    return undefined; // The validation reports it.
  }
}

async function serveNestedCall(
  environment: CallEnvironment,
  context: Context,
): Promise<Response> {
  const token = context.req.header(HEADERS.call) ?? "";
  const parent = environment.activeCalls.find(token);
  if (!parent) {
    environment.log.warn({ token: token.slice(0, 32) }, "call-token-unknown");
    const failure = token === ""
      ? createRefusal(REASONS.invalidRequest)
      : createUnknownOutcome(REASONS.parentEnded);
    return createCallResponse(err(failure), "");
  }
  return await serveHttpCall(environment, context, parent);
}
