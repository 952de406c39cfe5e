/**
 * In-memory object API over HTTP for tests and demonstrations.
 *
 * It has versions, conditional updates and long-poll watches, and simulates the
 * faults of the real API.
 */

import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { Context } from "hono";
import type { StoredObject } from "../store/mod.ts";
import { ObjectTable } from "./object_table.ts";

/** Injectable faults; can be changed while the API runs. */
export interface ObjectApiFaults {
  /** Whether requests fail immediately instead of being served. */
  isDown: boolean;
  /** Whether the responses to writes are lost after the write has taken effect. */
  losesResponses: boolean;
  /** Whether reads return the previous version of an object. */
  servesStaleReads: boolean;
  /** Delay added to each call, in milliseconds. */
  delayMs: number;
}

/** Numbers of calls served. */
export interface ObjectApiCounts {
  /** Calls received, including those that wait for the added delay. */
  arrivals: number;
  reads: number;
  writes: number;
  watches: number;
}

const MAX_VALUE_BYTES = 1_048_576;

/** HTTP server of an in-memory object API. */
export class ObjectApiStandIn {
  readonly faults: ObjectApiFaults = {
    isDown: false,
    losesResponses: false,
    servesStaleReads: false,
    delayMs: 0,
  };
  readonly counts: ObjectApiCounts = {
    arrivals: 0,
    reads: 0,
    writes: 0,
    watches: 0,
  };
  readonly #table = new ObjectTable();
  #server: ServerType | undefined;

  /** Starts listening. */
  listen(address: string, port: number): Promise<void> {
    const app = new Hono();
    app.use("*", async (context, next) => {
      this.counts.arrivals += 1;
      await new Promise((resolve) => setTimeout(resolve, this.faults.delayMs));
      if (this.faults.isDown) {
        return context.text("down", 503);
      }
      await next();
    });
    app.get("/objects/:key", (context) => this.#get(context));
    app.put("/objects/:key", (context) => this.#put(context));
    return new Promise((resolve) => {
      this.#server = serve(
        { fetch: app.fetch, hostname: address, port },
        () => resolve(),
      );
    });
  }

  /** Stops listening and ends pending watches. */
  close(): void {
    this.#server?.close();
    this.#table.notifyAll();
  }

  /** Returns the current object, regardless of faults. */
  peek(key: string): StoredObject | undefined {
    return this.#table.get(key);
  }

  async #get(context: Context): Promise<Response> {
    const key = context.req.param("key") ?? "";
    const after = context.req.query("after");
    if (after === undefined) {
      this.counts.reads += 1;
      const object = this.#getVisible(key);
      return object
        ? context.json(encodeObject(object))
        : context.json({ error: "not found" }, 404);
    }
    this.counts.watches += 1;
    await this.#waitForChange(
      key,
      Number(after),
      Number(context.req.query("timeoutMs")),
    );
    const object = this.#getVisible(key);
    return object && object.version.revision > Number(after)
      ? context.json(encodeObject(object))
      : context.body(null, 204);
  }

  async #put(context: Context): Promise<Response> {
    this.counts.writes += 1;
    const key = context.req.param("key") ?? "";
    const text = await context.req.text();
    if (text.length > MAX_VALUE_BYTES) {
      return context.json({ error: "too large" }, 413);
    }
    const { isAccepted, current } = this.#table.put(
      key,
      text,
      { era: 0, revision: Number(context.req.header("if-match")) },
    );
    if (!isAccepted) {
      return context.json(
        current ? encodeObject(current) : { version: 0 },
        412,
      );
    }
    if (this.faults.losesResponses) {
      return context.text("lost", 502);
    }
    return context.json({ version: current?.version.revision });
  }

  #getVisible(key: string): StoredObject | undefined {
    return this.faults.servesStaleReads
      ? this.#table.getPrevious(key)
      : this.#table.get(key);
  }

  #waitForChange(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<void> {
    if ((this.#table.get(key)?.version.revision ?? 0) > afterVersion) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(finish, timeoutMs);
      const unsubscribe = this.#table.onChange(key, finish);
      function finish(): void {
        clearTimeout(timer);
        unsubscribe();
        resolve();
      }
    });
  }
}

/** Encodes an object for the wire, where its version is a plain revision. */
function encodeObject({ version, value }: StoredObject) {
  return { version: version.revision, value };
}
