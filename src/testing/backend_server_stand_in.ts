/**
 * Stand-in for a backend server, for tests and experiments.
 *
 * It announces itself to its daemon, takes time for each call, calls the next
 * service of a chain and records every run.
 */

import { Buffer } from "node:buffer";
import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { Context } from "hono";
import { Pool } from "undici";
import { HEADERS } from "../constants/mod.ts";
import type { Announcement } from "../generated/types.ts";

/** Behavior of a stand-in; can be changed while it runs. */
export interface BackendBehavior {
  /** Service time of a call while slots are free, in milliseconds; it grows with the load above that. */
  serviceTimeMs: number;
  /** Share of calls that fail with an error response, 0 to 1. */
  failureRatio: number;
  /** Size of the filler in each response, in bytes. */
  answerBytes: number;
  /** Whether it keeps announcing itself. */
  isAnnouncing: boolean;
  /** Number of calls in flight to report instead of the actual one. */
  reportedInFlight: number | undefined;
}

/** Address, service and capacity of a stand-in. */
export interface BackendServerStandInOptions {
  readonly address: string;
  readonly port: number;
  /** Port of the daemon on the same address. */
  readonly daemonPort: number;
  readonly service: string;
  readonly slots: number;
  readonly coldStartMs?: number;
  /** Service chains by the first segment of the path. */
  readonly chains: Readonly<Record<string, readonly string[]>>;
  readonly behavior?: Partial<BackendBehavior>;
}

/** A call that the stand-in ran. */
export interface RecordedRun {
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly service: string;
  readonly member: string;
  /** Remaining time that the daemon passed on, in milliseconds. */
  readonly deadlineMs?: number;
  readonly atMs: number;
  readonly isFinished: boolean;
}

const ANNOUNCE_INTERVAL_MS = 500;
const CONNECTIONS_PER_SLOT = 6;
const NESTED_CALL_CONNECTIONS = 256;
const MAX_RECORDED_RUNS = 200_000;

/** Backend server that runs in the test process. */
export class BackendServerStandIn {
  readonly behavior: BackendBehavior;
  readonly runs: RecordedRun[] = [];
  readonly #options: BackendServerStandInOptions;
  readonly #daemon: Pool;
  #server: ServerType | undefined;
  #announceTimer: ReturnType<typeof setInterval> | undefined;
  #inFlight = 0;
  #served = 0;

  constructor(options: BackendServerStandInOptions) {
    this.#options = options;
    this.#daemon = new Pool(`http://${options.address}:${options.daemonPort}`, {
      connections: NESTED_CALL_CONNECTIONS,
    });
    this.behavior = {
      serviceTimeMs: 5,
      failureRatio: 0,
      answerBytes: 64,
      isAnnouncing: true,
      reportedInFlight: undefined,
      ...options.behavior,
    };
  }

  /** Number of calls in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts listening and announcing. */
  async start(): Promise<void> {
    const app = new Hono();
    app.all("*", (context) => this.#handle(context));
    app.onError((error, context) =>
      context.json({ error: error.message }, 500)
    );
    const { address, port } = this.#options;
    await new Promise<void>((resolve) => {
      this.#server = serve(
        { fetch: app.fetch, hostname: address, port },
        () => resolve(),
      );
    });
    await this.#announce();
    this.#announceTimer = setInterval(
      () => void this.#announce(),
      ANNOUNCE_INTERVAL_MS,
    );
  }

  /** Withdraws the announcement, so that the daemon sends no new work. */
  async leave(): Promise<void> {
    this.behavior.isAnnouncing = false;
    const response = await this.#daemon.request({
      method: "DELETE",
      path: "/backend/announcement",
    });
    await response.body.dump();
  }

  /** Stops immediately and closes every connection. */
  async stop(): Promise<void> {
    clearInterval(this.#announceTimer);
    const server = this.#server;
    if (server && "closeAllConnections" in server) {
      server.closeAllConnections();
    }
    server?.close();
    await this.#daemon.destroy();
  }

  async #announce(): Promise<void> {
    if (!this.behavior.isAnnouncing) {
      return;
    }
    const { service, port, slots, coldStartMs } = this.#options;
    const announcement: Announcement = {
      service,
      port,
      slots,
      connections: slots * CONNECTIONS_PER_SLOT,
      reportsLoad: true,
      coldStartMs: coldStartMs ?? 0,
      inFlight: this.behavior.reportedInFlight ?? this.#inFlight,
    };
    try {
      const response = await this.#daemon.request({
        method: "PUT",
        path: "/backend/announcement",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(announcement),
      });
      await response.body.dump();
    } catch {
      // The daemon may be restarting; the next announcement is sent after the interval.
    }
  }

  async #handle(context: Context): Promise<Response> {
    const body = await context.req.arrayBuffer();
    this.#inFlight += 1;
    this.#served += 1;
    const index = this.#record(context, false);
    try {
      await this.#simulateWork();
      // Spreads the failures evenly over the calls; 1e-9 absorbs rounding errors.
      if (
        this.#served * this.behavior.failureRatio % 1 +
            this.behavior.failureRatio >
          1 - 1e-9
      ) {
        return context.json({ error: "failed" }, 500);
      }
      const nested = await this.#callNextService(context, body);
      if (nested && nested.status >= 400) {
        return context.json({
          error: "dependency failed",
          service: nested.service,
          status: nested.status,
        }, 502);
      }
      this.#record(context, true, index);
      return context.json(this.#createResponse(context, body, nested?.text));
    } finally {
      this.#inFlight -= 1;
    }
  }

  #simulateWork(): Promise<void> {
    const slowdown = Math.max(1, this.#inFlight / this.#options.slots);
    return new Promise((resolve) =>
      setTimeout(resolve, this.behavior.serviceTimeMs * slowdown)
    );
  }

  async #callNextService(context: Context, body: ArrayBuffer) {
    const chain = this.#options.chains[context.req.path.split("/")[1] ?? ""] ??
      [];
    const service = chain[chain.indexOf(this.#options.service) + 1];
    if (!chain.includes(this.#options.service) || service === undefined) {
      return undefined;
    }
    const hasBody = context.req.method !== "GET";
    const response = await this.#daemon.request({
      method: context.req.method as "GET",
      path: `/call/${service}${context.req.path}`,
      headers: {
        [HEADERS.call]: context.req.header(HEADERS.call) ?? "",
        "content-type": "application/octet-stream",
      },
      body: hasBody && body.byteLength > 0 ? Buffer.from(body) : null,
      signal: context.req.raw.signal,
    });
    return {
      service,
      status: response.statusCode,
      text: await response.body.text(),
    };
  }

  #createResponse(
    context: Context,
    body: ArrayBuffer,
    nested: string | undefined,
  ) {
    return {
      service: this.#options.service,
      address: this.#options.address,
      requestId: context.req.header(HEADERS.requestId) ?? "",
      receivedBytes: body.byteLength,
      filler: "x".repeat(this.behavior.answerBytes),
      nested: nested === undefined ? null : JSON.parse(nested),
    };
  }

  #record(context: Context, isFinished: boolean, index = -1): number {
    const run: RecordedRun = {
      requestId: context.req.header(HEADERS.requestId) ?? "",
      idempotencyKey: context.req.header(HEADERS.idempotencyKey) ?? "",
      service: this.#options.service,
      member: context.req.header(HEADERS.member) ?? "",
      deadlineMs: Number(context.req.header(HEADERS.deadlineMs) ?? 0),
      atMs: Date.now(),
      isFinished,
    };
    if (index >= 0) {
      this.runs[index] = run;
      return index;
    }
    return this.runs.length < MAX_RECORDED_RUNS ? this.runs.push(run) - 1 : -1;
  }
}
