/**
 * HTTP admin API for operators: health, readiness, metrics, status,
 * journal, quarantine, drain and stop.
 */

import { timingSafeEqual } from "node:crypto";
import { createHash } from "node:crypto";
import { Hono } from "hono";
import type { Context } from "hono";
import { updateMembershipGauges } from "../membership/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import type { NotReadyCause } from "./listener.ts";

/** Functions of the daemon that the admin API uses. */
export interface AdminOptions {
  /** Explains why the daemon cannot serve callers; undefined if it can. */
  readonly explainNotReady: () => NotReadyCause | undefined;
  /** Stops the daemon gracefully. */
  readonly stop: () => Promise<void>;
}

/**
 * Creates the admin application.
 *
 * Health, readiness and metrics are public; everything else requires the fleet
 * token as a bearer token.
 *
 * @param environment - Components of the daemon
 * @param options - Readiness and stop function of the daemon
 * @returns The application
 *
 * @example
 * serve({ fetch: createAdminApp(environment, options).fetch, port: settings.adminPort });
 */
export function createAdminApp(
  environment: CallEnvironment,
  options: AdminOptions,
): Hono {
  const { backend, journal, metrics, quarantine, settings } = environment;
  const app = new Hono();
  app.get("/health", (context) => context.json({ status: "alive" }));
  app.get("/ready", (context) => {
    const cause = options.explainNotReady();
    return context.json({ ready: !cause, ...cause }, cause ? 503 : 200);
  });
  app.get("/metrics", async (context) => {
    updateGauges(environment, options.explainNotReady()?.reason);
    return context.text(await metrics.registry.metrics(), 200, {
      "content-type": metrics.registry.contentType,
    });
  });
  app.use("/v1/*", async (context, next) => {
    if (!isAuthorized(context, settings.fleetToken)) {
      return context.json({ error: "a bearer token is required" }, 401);
    }
    await next();
  });
  app.get(
    "/v1/status",
    (context) =>
      context.json(describeStatus(environment, options.explainNotReady())),
  );
  app.get("/v1/configuration", (context) => {
    const { digest, version } = environment.configuration;
    const isReady = !options.explainNotReady();
    return context.json({ version, digest, isReady });
  });
  app.get("/v1/journal", (context) => {
    const sinceMs = context.req.query("sinceMs");
    const filter = {
      kind: context.req.query("kind"),
      requestId: context.req.query("requestId"),
    };
    return context.json(
      journal.list({
        ...filter,
        sinceMs: sinceMs === undefined ? undefined : Number(sinceMs),
      }),
    );
  });
  app.get("/v1/quarantine", (context) => context.json(quarantine.list()));
  app.post("/v1/quarantine/:fingerprint/release", (context) => {
    const isReleased = quarantine.release(context.req.param("fingerprint"));
    return context.json({ isReleased });
  });
  app.post("/v1/drain", (context) => {
    backend.drain();
    return context.json({ state: backend.state });
  });
  app.post("/v1/undrain", (context) => {
    backend.undrain();
    return context.json({ state: backend.state });
  });
  app.post("/v1/stop", (context) => {
    void options.stop();
    return context.json({ stopping: true });
  });
  return app;
}

function isAuthorized(context: Context, fleetToken: string): boolean {
  const given = context.req.header("authorization") ?? "";
  const digest = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(given), digest(`Bearer ${fleetToken}`));
}

function updateGauges(
  environment: CallEnvironment,
  notReadyReason: string | undefined,
): void {
  const { configuration, inboundAdmission, membership, metrics } = environment;
  const load = inboundAdmission.describeLoad("");
  metrics.inFlight.set(load.inFlight);
  environment.allowances.updateMetrics();
  metrics.limit.set(load.limit);
  metrics.configuration.update(
    environment.configurationProgress.describe(),
    notReadyReason,
  );
  metrics.keysRemembered.set({ role: "holder" }, environment.keys.size);
  metrics.keysRemembered.set({ role: "runner" }, environment.runs.size);
  updateMembershipGauges(metrics, membership);
  const regions = configuration.current?.regionByFailureDomain;
  for (const { purpose, failureDomain, bytes } of metrics.sent.list()) {
    const region = regions?.get(failureDomain) ?? "";
    metrics.sentBytes.set({ purpose, region, domain: failureDomain }, bytes);
  }
}

function describeStatus(
  environment: CallEnvironment,
  notReady: NotReadyCause | undefined,
) {
  const { activeCalls, allowances, backend, configuration } = environment;
  const { inboundAdmission, membership } = environment;
  return {
    self: membership.self,
    isReady: !notReady,
    notReady: notReady ?? null,
    configurationVersion: configuration.version,
    configuration: environment.configurationProgress.describe(),
    backend: {
      state: backend.state,
      announcement: backend.announcement ?? null,
    },
    load: inboundAdmission.describeLoad(membership.self.service),
    activeCalls: activeCalls.count,
    allowances: allowances.describe() ?? null,
    members: membership.listAll(),
  };
}
