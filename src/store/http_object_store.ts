/**
 * HTTP client of the object API; a dialect encodes the requests.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import { ObjectStore } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type {
  StoreDialect,
  StoreRequest,
  StoreResponse,
} from "./store_dialect.ts";
import { VersionHeaderDialect } from "./version_header_dialect.ts";

/** Timeout of a read or write, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Added to the timeout of a watch before the request is aborted, in milliseconds. */
const WATCH_GRACE_MS = 1_000;

/** Maximum number of connections from one process to the store. */
const MAX_CONNECTIONS = 4;

/** Object store accessed over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #pool: Pool;
  readonly #dialect: StoreDialect;

  constructor(
    baseUrl: string,
    dialect: StoreDialect = new VersionHeaderDialect(),
  ) {
    super();
    this.#dialect = dialect;
    this.#pool = new Pool(baseUrl, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const response = await this.#send(
      this.#dialect.encodeRead(key),
      REQUEST_TIMEOUT_MS,
    );
    return response.andThen((each) => this.#dialect.decodeRead(key, each));
  }

  override async write(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreFailure>> {
    const response = await this.#send(
      this.#dialect.encodeWrite(key, value, expectedVersion),
      REQUEST_TIMEOUT_MS,
    );
    return response
      .mapErr(({ message }): StoreFailure => ({ kind: "unsure", message }))
      .andThen((each) => this.#dialect.decodeWrite(key, each));
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const first = await this.#watchOnce(key, afterVersion, timeoutMs);
    const result = first.isOk() && first.value.isPositionOnly
      ? await this.#watchOnce(key, afterVersion, timeoutMs)
      : first;
    return result.map(({ object }) => object);
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #watchOnce(key: string, afterVersion: number, timeoutMs: number) {
    const response = await this.#send(
      this.#dialect.encodeWatch(key, afterVersion, timeoutMs),
      timeoutMs + WATCH_GRACE_MS,
    );
    return response.andThen((each) =>
      this.#dialect.decodeWatch(key, afterVersion, each)
    );
  }

  async #send(
    request: StoreRequest,
    timeoutMs: number,
  ): Promise<Result<StoreResponse, StoreFailure>> {
    try {
      const response = await this.#pool.request({
        ...request,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      return ok({ status: response.statusCode, text });
    } catch (cause) {
      return err({ kind: "unavailable", message: (cause as Error).message });
    }
  }
}
