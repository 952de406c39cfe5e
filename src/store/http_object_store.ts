/**
 * HTTP client of the object API; a dialect encodes the requests.
 *
 * A call that gets no answer in time shows that its connection no longer
 * delivers. The idle connections opened before it may be in the same state, and
 * each would cost the next call another timeout. All calls after it therefore use
 * connections opened later.
 */

import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import { BodyBuffer } from "../http/body_buffer.ts";
import { SystemClock } from "../time/mod.ts";
import type { Clock } from "../time/mod.ts";
import { FAILURE_REASONS, ObjectStore } from "./object_store.ts";
import type {
  FailureReason,
  StoredObject,
  StoreFailure,
} from "./object_store.ts";
import type {
  StoreDialect,
  StoreHeaders,
  StoreRequest,
  StoreResponse,
} from "./store_dialect.ts";
import { EraTracker } from "./era_tracker.ts";
import { createStoreTiming, DEFAULT_CONTACT_MS } from "./store_timing.ts";
import type { StoreTiming } from "./store_timing.ts";
import { isLaterVersion } from "./store_version.ts";
import type { StoreVersion } from "./store_version.ts";
import { VersionHeaderDialect } from "./version_header_dialect.ts";

/** Maximum number of connections from one process to the store. */
const MAX_CONNECTIONS = 4;

/** Maximum size of a response, in bytes; several times that of the longest list or object. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Error code of a response that exceeds the maximum size. */
const TOO_LARGE_CODE = "UND_ERR_RES_EXCEEDED_MAX_SIZE";

/** A response whose body has not been read. */
export interface RawStoreResponse {
  readonly statusCode: number;
  readonly headers: StoreHeaders;
  readonly body: { text(): Promise<string> };
}

/** A finished call, for metrics. */
export interface StoreCall {
  /** `watch` is a call that the store holds, `list` one that begins a watch. */
  readonly kind: "read" | "write" | "watch" | "list";
  /** `answered`, or why the call failed. */
  readonly outcome: FailureReason | "answered";
  readonly durationMs: number;
}

/** Parts of the store client that deployments and tests replace. */
export interface HttpObjectStoreOptions {
  readonly dialect?: StoreDialect | undefined;
  readonly eras?: EraTracker | undefined;
  readonly clock?: Clock | undefined;
  readonly timing?: StoreTiming | undefined;
  /** Reports each call that ended. */
  readonly reportCall?: ((call: StoreCall) => void) | undefined;
}

/**
 * Object store accessed over HTTP.
 *
 * Answers that are not from the latest era are ignored, and positions of an
 * earlier era are neither watched from nor written on.
 */
export class HttpObjectStore extends ObjectStore {
  readonly #baseUrl: string;
  readonly #dialect: StoreDialect;
  readonly #eras: EraTracker;
  readonly #clock: Clock;
  readonly #timing: StoreTiming;
  readonly #reportCall: (call: StoreCall) => void;
  /** Pools that calls may still use; the last one is for new calls. */
  readonly #pools = new Set<Pool>();
  #pool: Pool;
  /** Number of times that the connections were replaced. */
  #renewalCount = 0;

  constructor(baseUrl: string, options: HttpObjectStoreOptions = {}) {
    super();
    this.#baseUrl = baseUrl;
    this.#dialect = options.dialect ?? new VersionHeaderDialect();
    this.#eras = options.eras ?? new EraTracker();
    this.#clock = options.clock ?? new SystemClock();
    this.#timing = options.timing ?? createStoreTiming(DEFAULT_CONTACT_MS);
    this.#reportCall = options.reportCall ?? (() => undefined);
    this.#pool = this.#createPool();
  }

  override get era(): number {
    return this.#eras.era;
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const response = await this.#send(this.#dialect.encodeRead(key), "read");
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
      "write",
    );
    return response
      .mapErr((failure): StoreFailure => ({ ...failure, kind: "unsure" }))
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
    if (read.isErr()) {
      // The position is past a change that only the read would have given.
      this.#dialect.forgetWatchPosition(key);
    }
    return read.map((object) =>
      object && isLaterVersion(object.version, after) ? object : undefined
    );
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools].map((pool) => pool.destroy()));
  }

  /** Sends a request and returns the response; tests replace it by an exchange without a network. */
  protected async exchange(
    { method, path, headers, body }: StoreRequest,
    signal: AbortSignal,
  ): Promise<RawStoreResponse> {
    const response = await this.#pool.request({
      ...{ method, path, signal },
      ...headers && { headers },
      ...body !== undefined && { body },
    });
    return { ...response, body: { text: () => readText(response.body) } };
  }

  /** Makes all later calls use new connections; calls in progress keep theirs. */
  protected renewConnections(): void {
    const retired = this.#pool;
    this.#pool = this.#createPool();
    retired.close().catch(() => undefined) // Rejects only after destroy(), which ends the calls itself.
      .finally(() => this.#pools.delete(retired));
  }

  #createPool(): Pool {
    const pool = new Pool(this.#baseUrl, {
      connections: MAX_CONNECTIONS,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: { timeout: this.#timing.connectTimeoutMs },
    });
    this.#pools.add(pool);
    return pool;
  }

  async #watchOnce(key: string, after: StoreVersion, timeoutMs: number) {
    const position = { after, era: this.#eras.era };
    const request = this.#dialect.encodeWatch(key, position, timeoutMs);
    const response = await this.#send(
      request,
      request.isHeld ? "watch" : "list",
      timeoutMs,
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
    kind: StoreCall["kind"],
    heldMs = 0,
  ): Promise<Result<StoreResponse, StoreFailure>> {
    const { requestTimeoutMs, watchGraceMs } = this.#timing;
    const timeoutMs = request.isHeld ? heldMs + watchGraceMs : requestTimeoutMs;
    const startedAtMs = this.#clock.monotonicMs();
    const result = await this.#sendWithin(request, timeoutMs);
    this.#reportCall({
      kind,
      outcome: result.isOk()
        ? "answered"
        : result.error.reason ?? FAILURE_REASONS.connection,
      durationMs: this.#clock.monotonicMs() - startedAtMs,
    });
    return result;
  }

  async #sendWithin(
    request: StoreRequest,
    timeoutMs: number,
  ): Promise<Result<StoreResponse, StoreFailure>> {
    const controller = new AbortController();
    const cancelTimeout = this.#clock.schedule(
      timeoutMs,
      () => controller.abort(),
    );
    const renewalCount = this.#renewalCount;
    try {
      const { body, headers, statusCode: status } = await this.exchange(
        request,
        controller.signal,
      );
      const text = await body.text();
      return this.#eras.accept(this.#dialect.readEra(headers))
        .map((era) => ({ status, text, era }))
        .mapErr((message): StoreFailure => ({
          ...{ kind: "unavailable", message },
          reason: FAILURE_REASONS.outdated,
        }));
    } catch (cause) {
      if (!controller.signal.aborted) {
        const { code, message } = cause as NodeJS.ErrnoException;
        const reason = code === TOO_LARGE_CODE
          ? FAILURE_REASONS.refused
          : FAILURE_REASONS.connection;
        return err({ kind: "unavailable", message, reason });
      }
      this.#renewOnce(renewalCount);
      const message = `no answer within ${timeoutMs} ms`;
      const reason = FAILURE_REASONS.silent;
      return err({ kind: "unavailable", message, reason });
    } finally {
      cancelTimeout();
    }
  }

  /** Renews the connections unless that was done after the call that failed had begun. */
  #renewOnce(renewalCount: number): void {
    if (renewalCount === this.#renewalCount) {
      this.#renewalCount += 1;
      this.renewConnections();
    }
  }
}

/** Reads a body whose length the pool limits. */
async function readText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const collected = new BodyBuffer();
  for await (const part of body) {
    collected.add(part);
  }
  return collected.toBuffer().toString();
}
