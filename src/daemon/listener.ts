/**
 * Network listeners of a daemon, and the implementation for Hono applications.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import type { Hono } from "hono";
import {
  closeGracefully,
  ListeningServer,
  ReaderTracker,
} from "../listening/mod.ts";
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
  /** Waits until the departure of the backend server is stored, so that it outlasts the daemons; for a bounded time, since members know of it at once. */
  readonly storeDeparture: () => Promise<void>;
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

  /** Closes the connections without requests in progress, so that no further request is accepted, and waits for callers that may still read, until a deadline on the monotonic clock. */
  abstract closeConnections(deadlineMs: number): Promise<void>;

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
  readonly #readers: ReaderTracker;
  /** Number of requests without a complete response, by connection. */
  readonly #openCounts = new Map<Socket, number>();

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
    this.#readers = new ReaderTracker(this.#server);
    this.#followRequests();
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

  override async closeConnections(deadlineMs: number): Promise<void> {
    this.#server.closeIdleConnections();
    await this.#readers.waitUntilRead(deadlineMs);
  }

  #followRequests(): void {
    this.#server.on("connection", (socket: Socket) => {
      this.#openCounts.set(socket, 0);
      socket.once("close", () => this.#openCounts.delete(socket));
    });
    this.#server.prependListener(
      "request",
      ({ socket }: IncomingMessage, response: ServerResponse) => {
        this.#addOpen(socket, 1);
        response.once("close", () => {
          this.#addOpen(socket, -1);
          this.#readers.expect(socket);
        });
      },
    );
    this.#server.closeIdleConnections = () => {
      for (const [socket, openCount] of this.#openCounts) {
        if (openCount === 0) {
          closeGracefully(socket);
        }
      }
    };
  }

  #addOpen(socket: Socket, change: 1 | -1): void {
    const openCount = this.#openCounts.get(socket);
    if (openCount !== undefined) {
      this.#openCounts.set(socket, openCount + change);
    }
  }

  /** Closes the client's connection after this response if the daemon is stopping. */
  #endConnection(response: Response): Response {
    if (this.#context.isStopping()) {
      response.headers.set("connection", "close");
    }
    return response;
  }
}
