/**
 * HTTP client of the object API; a dialect encodes the requests.
 */

import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import { ObjectStore } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type {
  StoreDialect,
  StoreHeaders,
  StoreRequest,
  StoreResponse,
} from "./store_dialect.ts";
import { EraTracker } from "./era_tracker.ts";
import { isLaterVersion } from "./store_version.ts";
import type { StoreVersion } from "./store_version.ts";
import { VersionHeaderDialect } from "./version_header_dialect.ts";

/** Timeout of a read or write, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Added to the timeout of a watch before the request is aborted, in milliseconds. */
const WATCH_GRACE_MS = 1_000;

/** Maximum number of connections from one process to the store. */
const MAX_CONNECTIONS = 4;

/** A response whose body has not been read. */
export interface RawStoreResponse {
  readonly statusCode: number;
  readonly headers: StoreHeaders;
  readonly body: { text(): Promise<string> };
}

/** Parts of the store client that deployments and tests replace. */
export interface HttpObjectStoreOptions {
  readonly dialect?: StoreDialect | undefined;
  readonly eras?: EraTracker | undefined;
}

/**
 * Object store accessed over HTTP.
 *
 * Answers that are not from the latest era are ignored, and positions of an
 * earlier era are neither watched from nor written on.
 */
export class HttpObjectStore extends ObjectStore {
  readonly #pool: Pool;
  readonly #dialect: StoreDialect;

  readonly #eras: EraTracker;

  constructor(
    baseUrl: string,
    { dialect = new VersionHeaderDialect(), eras = new EraTracker() }:
      HttpObjectStoreOptions = {},
  ) {
    super();
    this.#dialect = dialect;
    this.#eras = eras;
    this.#pool = new Pool(baseUrl, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  override get era(): number {
    return this.#eras.era;
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
    expected: StoreVersion,
  ): Promise<Result<StoreVersion, StoreFailure>> {
    if (expected.revision > 0 && expected.era < this.#eras.era) {
      const message = "the store has returned from a copy since the read";
      return err({ kind: "conflict", message });
    }
    const response = await this.#send(
      this.#dialect.encodeWrite(key, value, expected),
      REQUEST_TIMEOUT_MS,
    );
    return response
      .mapErr(({ message }): StoreFailure => ({ kind: "unsure", message }))
      .andThen((each) => this.#dialect.decodeWrite(key, expected, each));
  }

  override async watch(
    key: string,
    after: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const first = await this.#watchOnce(key, after, timeoutMs);
    const result = first.isOk() && first.value.isPositionOnly &&
        !first.value.isIncomplete
      ? await this.#watchOnce(key, after, timeoutMs)
      : first;
    if (result.isErr() || !result.value.isIncomplete) {
      return result.map(({ object }) => object);
    }
    const read = await this.read(key);
    return read.map((object) =>
      object && isLaterVersion(object.version, after) ? object : undefined
    );
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  /** Sends a request and returns the response; tests replace it by an exchange without a network. */
  protected exchange(
    request: StoreRequest,
    signal: AbortSignal,
  ): Promise<RawStoreResponse> {
    return this.#pool.request({ ...request, signal });
  }

  async #watchOnce(key: string, after: StoreVersion, timeoutMs: number) {
    const position = { after, era: this.#eras.era };
    const response = await this.#send(
      this.#dialect.encodeWatch(key, position, timeoutMs),
      timeoutMs + WATCH_GRACE_MS,
    );
    if (response.isErr()) {
      this.#dialect.forgetWatchPosition(key);
    }
    return response.andThen((each) =>
      this.#dialect.decodeWatch(key, position, each)
    );
  }

  async #send(
    request: StoreRequest,
    timeoutMs: number,
  ): Promise<Result<StoreResponse, StoreFailure>> {
    try {
      const { body, headers, statusCode: status } = await this.exchange(
        request,
        AbortSignal.timeout(timeoutMs),
      );
      const text = await body.text();
      return this.#eras.accept(this.#dialect.readEra(headers))
        .map((era) => ({ status, text, era }))
        .mapErr((message): StoreFailure => ({ kind: "unavailable", message }));
    } catch (cause) {
      return err({ kind: "unavailable", message: (cause as Error).message });
    }
  }
}
