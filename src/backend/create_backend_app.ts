/**
 * HTTP API for the backend server on this VM: announcements and nested calls.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { err } from "neverthrow";
import { createCallResponse, serveHttpCall } from "../caller/mod.ts";
import { ANNOUNCEMENT_RENEW_MS, HEADERS } from "../constants/mod.ts";
import { validateAnnouncement } from "../generated/validators.ts";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";

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
  const announcement: unknown = await context.req.json().catch(() => undefined);
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
