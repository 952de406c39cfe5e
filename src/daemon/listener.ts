/**
 * Network listeners of a daemon, and the implementation for Hono applications.
 */

import type { Server } from "node:http";
import { createAdaptorServer } from "@hono/node-server";
import type { Hono } from "hono";
import { ListeningServer } from "../listening/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import type { FaultReporter } from "../telemetry/mod.ts";

/** Why a daemon cannot serve callers. */
export interface NotReadyCause {
  /** `stopping`, or why there is no usable configuration. */
  readonly reason: string;
  /** The refused or unconfirmed configuration version; 0 if there is none. */
  readonly version: number;
}

/** Functions and components of the daemon that listeners use. */
export interface ListenerContext {
  readonly environment: CallEnvironment;
  /** Reports faults of listeners and requests. */
  readonly faults: FaultReporter;
  /** Whether the daemon can serve callers. */
  readonly isReady: () => boolean;
  /** Explains why the daemon cannot serve callers; undefined if it can. */
  readonly explainNotReady: () => NotReadyCause | undefined;
  /** Whether the daemon has been told to stop. */
  readonly isStopping: () => boolean;
  /** Counts a request as in progress while it is served. */
  readonly track: <T>(run: () => Promise<T>) => Promise<T>;
  /** Stops the daemon gracefully. */
  readonly stop: () => Promise<void>;
}

/** A network interface of a daemon. */
export abstract class Listener {
  /** Whether the daemon also serves without this interface. */
  readonly isOptional: boolean = false;

  /** Address that is listened on, as `IP:PORT`. */
  abstract get address(): string;

  /** Starts listening. Rejects if the address cannot be bound, and may then be called again. */
  abstract start(): Promise<void>;

  /** Stops accepting connections and closes idle ones. */
  abstract close(): void;

  /** Closes the connections without requests in progress, so that no further request is accepted. */
  closeConnections(): void {
    // By default, connections close when their clients or the process end.
  }

  /** Reports an error of the listening socket, such as a connection that cannot be accepted. */
  protected reportError({ faults }: ListenerContext, error: Error): void {
    faults.report("listener", error, { address: this.address });
  }
}

/** Application and address of a {@link HonoListener}. */
export interface HonoListenerOptions {
  readonly app: Hono;
  readonly address: string;
  readonly port: number;
  /** Whether the daemon also serves without this interface. */
  readonly isOptional?: boolean;
  /** Maximum number of connections; those beyond it are closed at once. Unlimited if not given. */
  readonly maxConnections?: number;
}

/** Serves a Hono application. */
export class HonoListener extends Listener {
  override readonly isOptional: boolean;
  readonly #context: ListenerContext;
  readonly #options: HonoListenerOptions;
  readonly #server: Server;
  readonly #listening: ListeningServer;

  constructor(context: ListenerContext, options: HonoListenerOptions) {
    super();
    this.#context = context;
    this.#options = options;
    this.isOptional = options.isOptional ?? false;
    this.#server = createAdaptorServer({
      fetch: (request: Request) =>
        context.track(async () =>
          this.#endConnection(await options.app.fetch(request))
        ),
    }) as Server;
    if (options.maxConnections !== undefined) {
      this.#server.maxConnections = options.maxConnections;
    }
    this.#listening = new ListeningServer(
      this.#server,
      (error) => this.reportError(context, error),
    );
  }

  override get address(): string {
    return `${this.#options.address}:${this.#options.port}`;
  }

  override start(): Promise<void> {
    const { address, port } = this.#options;
    return this.#listening.listen(address, port);
  }

  override close(): void {
    this.#server.close();
  }

  /** Closes the client's connection after this response if the daemon is stopping. */
  #endConnection(response: Response): Response {
    if (this.#context.isStopping()) {
      response.headers.set("connection", "close");
    }
    return response;
  }
}
