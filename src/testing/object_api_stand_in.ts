/**
 * A small object API for tests and demonstrations: versions, conditional
 * updates, long-poll watches and the faults that the real one has.
 */

import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import { Hono } from "hono";
import type { Context } from "hono";
import type { StoredObject } from "../store/mod.ts";

/** Faults that can be switched on. */
export interface ObjectApiFaults {
  /** Requests fail at once. */
  isDown: boolean;
  /** Writes take effect, but their answers are lost. */
  losesAnswers: boolean;
  /** Reads answer with the version before the current one. */
  answersFromPast: boolean;
  /** Added to each answer, in milliseconds. */
  delayMs: number;
}

/** Calls that were served. */
export interface ObjectApiCounts {
  reads: number;
  writes: number;
  watches: number;
}

const MAX_VALUE_BYTES = 1_048_576;

interface History {
  readonly current: StoredObject;
  readonly previous: StoredObject | undefined;
}

/** An object API in memory. */
export class ObjectApiStandIn {
  readonly faults: ObjectApiFaults = {
    isDown: false,
    losesAnswers: false,
    answersFromPast: false,
    delayMs: 0,
  };
  readonly counts: ObjectApiCounts = { reads: 0, writes: 0, watches: 0 };
  readonly #objects = new Map<string, History>();
  readonly #watchers = new Map<string, Set<() => void>>();
  #server: ServerType | undefined;

  /** Starts to listen. */
  listen(address: string, port: number): Promise<void> {
    const app = new Hono();
    app.use("*", async (context, next) => {
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

  /** Stops. */
  close(): void {
    this.#server?.close();
    for (const key of this.#watchers.keys()) {
      this.#wake(key);
    }
  }

  /** The object as it is now. */
  peek(key: string): StoredObject | undefined {
    return this.#objects.get(key)?.current;
  }

  async #get(context: Context): Promise<Response> {
    const key = context.req.param("key") ?? "";
    const after = context.req.query("after");
    if (after === undefined) {
      this.counts.reads += 1;
      const object = this.#visible(key);
      return object
        ? context.json(object)
        : context.json({ error: "not found" }, 404);
    }
    this.counts.watches += 1;
    await this.#waitForChange(
      key,
      Number(after),
      Number(context.req.query("timeoutMs")),
    );
    const object = this.#visible(key);
    return object && object.version > Number(after)
      ? context.json(object)
      : context.body(null, 204);
  }

  async #put(context: Context): Promise<Response> {
    this.counts.writes += 1;
    const key = context.req.param("key") ?? "";
    const text = await context.req.text();
    const current = this.#objects.get(key)?.current;
    const expected = Number(context.req.header("if-match"));
    if (text.length > MAX_VALUE_BYTES) {
      return context.json({ error: "too large" }, 413);
    }
    if (expected !== (current?.version ?? 0)) {
      return context.json(current ?? { version: 0 }, 412);
    }
    const next = { version: expected + 1, value: JSON.parse(text) };
    this.#objects.set(key, { current: next, previous: current });
    this.#wake(key);
    if (this.faults.losesAnswers) {
      return context.text("lost", 502);
    }
    return context.json({ version: next.version });
  }

  #visible(key: string): StoredObject | undefined {
    const history = this.#objects.get(key);
    return this.faults.answersFromPast
      ? history?.previous ?? history?.current
      : history?.current;
  }

  #waitForChange(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<void> {
    if ((this.#objects.get(key)?.current.version ?? 0) > afterVersion) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const watchers = this.#watchers.get(key) ?? new Set();
      this.#watchers.set(key, watchers);
      const timer = setTimeout(wake, timeoutMs);
      function wake(): void {
        clearTimeout(timer);
        watchers.delete(wake);
        resolve();
      }
      watchers.add(wake);
    });
  }

  #wake(key: string): void {
    for (const wake of this.#watchers.get(key) ?? []) {
      wake();
    }
  }
}
