/**
 * Network listeners of a daemon, and the implementation for Hono applications.
 */

import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { CallEnvironment } from "../request/mod.ts";

/** Functions and components of the daemon that listeners use. */
export interface ListenerContext {
  readonly environment: CallEnvironment;
  /** Whether the daemon can serve callers. */
  readonly isReady: () => boolean;
  /** Whether the daemon has been told to stop. */
  readonly isStopping: () => boolean;
  /** Counts a request as in progress while it is served. */
  readonly track: <T>(run: () => Promise<T>) => Promise<T>;
  /** Stops the daemon gracefully. */
  readonly stop: () => Promise<void>;
}

/** A network interface of a daemon. */
export abstract class Listener {
  /** Starts listening. Rejects if the address cannot be bound. */
  abstract start(): Promise<void>;

  /** Stops accepting connections and closes idle ones. */
  abstract close(): void;
}

/** Application and address of a {@link HonoListener}. */
export interface HonoListenerOptions {
  readonly app: Hono;
  readonly address: string;
  readonly port: number;
}

/** Serves a Hono application. */
export class HonoListener extends Listener {
  readonly #context: ListenerContext;
  readonly #options: HonoListenerOptions;
  #server: ServerType | undefined;

  constructor(context: ListenerContext, options: HonoListenerOptions) {
    super();
    this.#context = context;
    this.#options = options;
  }

  override start(): Promise<void> {
    const { app, address, port } = this.#options;
    const fetch = (request: Request) =>
      this.#context.track(async () =>
        this.#endConnection(await app.fetch(request))
      );
    return new Promise((resolve, reject) => {
      this.#server = serve({ fetch, hostname: address, port }, () => resolve());
      this.#server.once("error", reject);
    });
  }

  override close(): void {
    this.#server?.close();
  }

  /** Closes the client's connection after this response if the daemon is stopping. */
  #endConnection(response: Response): Response {
    if (this.#context.isStopping()) {
      response.headers.set("connection", "close");
    }
    return response;
  }
}
