// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types to state

/**
 * Stand-in of the platform's store: objects by kind and name, conditional writes,
 * lists and watches, as the users' page on the protocol says.
 */

import { createServer } from "node:http";

const PATH = /^\/api\/objects\/([^/?]+)(?:\/([^/?]+))?(?:\?(.*))?$/;

/** HTTP server that keeps the objects in memory. */
export class Store {
  constructor({ host, port }) {
    Object.assign(this, { host, port });
    this.objects = new Map();
    this.events = [];
    this.revision = 1;
    this.waiters = new Set();
    /** Whether calls are answered with 503. */
    this.isDown = false;
    this.server = createServer((request, response) =>
      this.#handle(request, response)
    );
  }

  listen() {
    return new Promise((resolve) =>
      this.server.listen(this.port, this.host, resolve)
    );
  }

  close() {
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(resolve));
  }

  /** Writes an object, in place of the operator or of another writer. */
  put(kind, name, spec) {
    const known = this.objects.get(`${kind}/${name}`);
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        created_rev: known?.metadata.created_rev ?? this.revision,
        finalizers: [],
        deletion_pending: false,
      },
      spec,
      status: known?.status ?? {},
    };
    this.objects.set(`${kind}/${name}`, object);
    this.events.push({ kind, revision: this.revision, object });
    [...this.waiters].forEach((wake) => wake());
    return object;
  }

  peek(kind, name) {
    return this.objects.get(`${kind}/${name}`)?.spec;
  }

  async #handle(request, response) {
    const parts = [];
    for await (const part of request) {
      parts.push(part);
    }
    const send = (status, body) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(body));
    };
    const [, kind = "", name = "", query = ""] = PATH.exec(request.url) ?? [];
    if (kind === "") {
      send(404, {});
      return;
    }
    if (this.isDown) {
      send(503, {});
      return;
    }
    const text = Buffer.concat(parts).toString();
    const body = text === "" ? {} : JSON.parse(text);
    if (request.method === "GET") {
      await this.#read(
        { kind, name, parameters: new URLSearchParams(query) },
        send,
      );
      return;
    }
    const target = decodeURIComponent(name || body.metadata?.name || "");
    const known = this.objects.get(`${kind}/${target}`);
    const stated = body.metadata?.revision;
    if (request.method === "POST" && known) {
      send(409, known);
    } else if (request.method === "PUT" && !known) {
      send(404, {});
    } else if (
      stated !== undefined && known && stated !== known.metadata.revision
    ) {
      send(409, known);
    } else if (request.method === "POST" || request.method === "PUT") {
      send(200, this.put(kind, target, body.spec));
    } else {
      send(404, {});
    }
  }

  async #read({ kind, name, parameters }, send) {
    if (name !== "") {
      const object = this.objects.get(`${kind}/${decodeURIComponent(name)}`);
      send(object ? 200 : 404, object ?? {});
      return;
    }
    const watched = parameters.get("watch");
    if (watched === null) {
      const items = [...this.objects].filter(([key]) =>
        key.startsWith(`${kind}/`)
      ).map(([, object]) => object);
      send(200, { items, has_more: false, at_rev: this.revision });
      return;
    }
    const from = Number(watched);
    const until = performance.now() + Number(parameters.get("wait_ms") ?? 0);
    const find = () =>
      this.events.filter((each) => each.kind === kind && each.revision > from);
    while (find().length === 0 && performance.now() < until && !this.isDown) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        this.waiters.add(wake);
      });
    }
    if (this.isDown) {
      send(503, {});
      return;
    }
    send(200, {
      events: find().map(({ object }) => ({ object, removed: false })),
      has_more: false,
      at_rev: this.revision,
    });
  }
}
