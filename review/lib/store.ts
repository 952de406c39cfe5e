/**
 * Stand-in of the platform's store: objects by kind and name, writes on a
 * condition, and watches.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PORTS } from "./deployment.ts";
import { now } from "./time.ts";

interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly "created_rev": number;
    readonly finalizers: readonly string[];
    readonly "deletion_pending": boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly object: StoredObject;
}

type Send = (status: number, body: unknown) => void;

/** HTTP server with the store's API. */
export class Store {
  #isDown = false;
  #revision = 10;
  readonly #objects = new Map<string, StoredObject>();
  readonly #events: StoreEvent[] = [];
  readonly #waiters = new Set<() => void>();
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((request, response) =>
    void this.#handle(request, response)
  );

  async listen(address: string): Promise<void> {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      if (this.#isDown) {
        socket.resetAndDestroy();
      }
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(PORTS.store, address, resolve)
    );
  }

  /** Begins an outage in which all connections are reset. */
  goDown(): void {
    this.#isDown = true;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Ends the outage. Nothing has been lost. */
  comeBack(): void {
    this.#isDown = false;
  }

  /** Writes an object as the operator does. */
  put(kind: string, name: string, spec: unknown): StoredObject {
    const key = `${kind}/${name}`;
    const known = this.#objects.get(key);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    this.#revision += 1;
    const object: StoredObject = {
      metadata: {
        name,
        revision: this.#revision,
        "created_rev": known?.metadata["created_rev"] ?? this.#revision,
        finalizers: [],
        "deletion_pending": false,
      },
      spec,
      status: known?.status ?? null,
    };
    this.#objects.set(key, object);
    this.#events.push({ kind, object });
    [...this.#waiters].forEach((wake) => wake());
    return object;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk as Buffer);
      }
    } catch {
      return; // The daemon has gone, or the store is down.
    }
    const send: Send = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    const { method, url = "" } = request;
    const { pathname, searchParams } = new URL(url, "http://store");
    const [, , , kind = "", name] = pathname.split("/").map(decodeURIComponent);
    const body = chunks.length > 0
      ? JSON.parse(Buffer.concat(chunks).toString())
      : undefined;
    if (method !== "GET") {
      this.#write(kind, { method, name, body }, send);
    } else if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      send(object ? 200 : 404, object ?? {});
    } else if (searchParams.has("watch")) {
      await this.#watch(kind, searchParams, send);
    } else {
      const items = [...this.#objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      send(200, { items, "has_more": false, "at_rev": this.#revision });
    }
  }

  #write(
    kind: string,
    { method, name, body }: {
      readonly method: string | undefined;
      readonly name: string | undefined;
      readonly body: {
        readonly metadata: { name: string; revision?: number };
        readonly spec: unknown;
      };
    },
    send: Send,
  ): void {
    const objectName = name ?? body.metadata.name;
    const known = this.#objects.get(`${kind}/${objectName}`);
    const { revision } = body.metadata;
    if (method === "POST") {
      send(known ? 409 : 201, known ?? this.put(kind, objectName, body.spec));
    } else if (method !== "PUT" || !known) {
      send(404, {});
    } else if (revision !== undefined && revision !== known.metadata.revision) {
      send(409, known);
    } else {
      send(200, this.put(kind, objectName, body.spec));
    }
  }

  async #watch(
    kind: string,
    parameters: URLSearchParams,
    send: Send,
  ): Promise<void> {
    const after = Number(parameters.get("watch"));
    const endMs = now() + Number(parameters.get("wait_ms") ?? 0);
    const listNews = () =>
      this.#events.filter((event) =>
        event.kind === kind && event.object.metadata.revision > after
      );
    while (listNews().length === 0 && now() < endMs) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - now()));
        this.#waiters.add(wake);
      });
    }
    const events = listNews().map(({ object }) => ({ removed: false, object }));
    send(200, { events, "at_rev": this.#revision });
  }
}
