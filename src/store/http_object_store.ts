/**
 * Client of the object API over HTTP.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { ObjectStore } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";

/** Time after which a read or write counts as failed, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Added to a watch's own timeout before it counts as failed, in milliseconds. */
const WATCH_GRACE_MS = 1_000;

/** Connections that one process keeps to the store. */
const MAX_CONNECTIONS = 4;

const STATUS = {
  ok: 200,
  noChange: 204,
  notFound: 404,
  preconditionFailed: 412,
} as const;

interface StoreRequest {
  readonly method: "GET" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly timeoutMs: number;
}

interface StoreResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Object API reached over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #pool: Pool;

  constructor(baseUrl: string) {
    super();
    this.#pool = new Pool(baseUrl, { connections: MAX_CONNECTIONS });
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const response = await this.#request({
      method: "GET",
      path: objectPath(key),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    return response.andThen(({ status, body }) => {
      if (status === STATUS.notFound) {
        return ok(undefined);
      }
      return status === STATUS.ok
        ? ok(body as StoredObject)
        : err(unavailable(`status ${status}`));
    });
  }

  override async write(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreFailure>> {
    const response = await this.#request({
      method: "PUT",
      path: objectPath(key),
      headers: {
        "content-type": "application/json",
        "if-match": String(expectedVersion),
      },
      body: JSON.stringify(value),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (response.isErr()) {
      return err({ kind: "unsure", message: response.error.message });
    }
    const { status, body } = response.value;
    switch (status) {
      case STATUS.ok:
        return ok((body as StoredObject).version);
      case STATUS.preconditionFailed:
        return err({
          kind: "conflict",
          message: "the object has changed",
          current: body as StoredObject,
        });
      default:
        return err({ kind: "unsure", message: `status ${status}` });
    }
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const path = `${
      objectPath(key)
    }?after=${afterVersion}&timeoutMs=${timeoutMs}`;
    const response = await this.#request({
      method: "GET",
      path,
      timeoutMs: timeoutMs + WATCH_GRACE_MS,
    });
    return response.andThen(({ status, body }) => {
      if (status === STATUS.noChange || status === STATUS.notFound) {
        return ok(undefined);
      }
      return status === STATUS.ok
        ? ok(body as StoredObject)
        : err(unavailable(`status ${status}`));
    });
  }

  /** Ends every connection. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #request(
    request: StoreRequest,
  ): Promise<Result<StoreResponse, StoreFailure>> {
    const { timeoutMs, ...rest } = request;
    const options: Dispatcher.RequestOptions = {
      ...rest,
      signal: AbortSignal.timeout(timeoutMs),
    };
    try {
      const response = await this.#pool.request(options);
      const text = await response.body.text();
      return ok({
        status: response.statusCode,
        body: hasObject(response.statusCode) ? JSON.parse(text) : undefined,
      });
    } catch (cause) {
      return err(unavailable((cause as Error).message));
    }
  }
}

/** Other answers carry no object; what stands between may answer in plain text. */
function hasObject(status: number): boolean {
  return status === STATUS.ok || status === STATUS.preconditionFailed;
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function unavailable(message: string): StoreFailure {
  return { kind: "unavailable", message };
}
