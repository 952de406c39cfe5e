/**
 * Interfaces that a daemon listens on.
 */

import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { CallEnvironment } from "../request/mod.ts";

/** What a listener needs of its daemon. */
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

/** One interface of a daemon. */
export abstract class Listener {
  /** Starts to listen. */
  abstract start(): Promise<void>;

  /** Takes no new connections and ends idle ones. */
  abstract close(): void;
}

/** Where a {@link HonoListener} listens and what it serves. */
export interface HonoListenerOptions {
  readonly app: Hono;
  readonly address: string;
  readonly port: number;
}

/** Serves an application of the product's own interface. */
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

  /** Lets a caller's connection end after this response while the daemon stops. */
  #endConnection(response: Response): Response {
    if (this.#context.isStopping()) {
      response.headers.set("connection", "close");
    }
    return response;
  }
}
