/**
 * The real store client over simulated connections, which may stop delivering
 * without a reset, to an in-memory object table.
 */

import { HttpObjectStore } from "../store/mod.ts";
import type {
  RawStoreResponse,
  StoreRequest,
  StoreTiming,
} from "../store/mod.ts";
import type { Clock } from "../time/mod.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";
import type {
  MemoryObjectStoreOptions,
  StoreTraffic,
} from "./memory_object_store.ts";

/** Dependencies of the store client. */
export interface LinkedObjectStoreOptions extends MemoryObjectStoreOptions {
  readonly timing: StoreTiming;
}

interface SimulatedConnection {
  isSilent: boolean;
}

/** Store client of one process whose connections tests silence and cut. */
export class LinkedObjectStore extends HttpObjectStore {
  readonly #clock: Clock;
  readonly #server: MemoryObjectStore;
  readonly #timing: StoreTiming;
  readonly #connections = new Set<SimulatedConnection>();
  #idle: SimulatedConnection[] = [];
  #isCut = false;

  constructor(options: LinkedObjectStoreOptions) {
    super("http://127.0.0.1:9", options);
    this.#clock = options.clock;
    this.#server = new MemoryObjectStore(options);
    this.#timing = options.timing;
  }

  /** Calls that reached the store, and the size of the responses. */
  get traffic(): StoreTraffic {
    return this.#server.traffic;
  }

  /** Silences the open connections, idle ones included; new ones work. */
  silenceConnections(): void {
    this.#connections.forEach((connection) => connection.isSilent = true);
  }

  /** Drops all packets, or lets new connections work again; open ones stay silent. */
  setCut(isCut: boolean): void {
    this.#isCut = isCut;
    this.silenceConnections();
  }

  /** Opens idle connections, as earlier calls of other components leave them. */
  openIdle(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.#idle.push(this.#open());
    }
  }

  protected override renewConnections(): void {
    this.#idle = [];
  }

  protected override async exchange(
    request: StoreRequest,
    signal: AbortSignal,
  ): Promise<RawStoreResponse> {
    const idle = this.#idle;
    const connection = idle.shift() ?? await this.#connect(signal);
    const aborted = new Promise<never>((_, reject) =>
      signal.addEventListener("abort", () => reject(new Error("aborted")))
    );
    try {
      const response = await Promise.race([
        this.#serve(connection, request),
        aborted,
      ]);
      idle.push(connection);
      return response;
    } catch (error) {
      this.#connections.delete(connection);
      throw error;
    }
  }

  #open(): SimulatedConnection {
    const connection = { isSilent: false };
    this.#connections.add(connection);
    return connection;
  }

  async #connect(signal: AbortSignal): Promise<SimulatedConnection> {
    if (this.#isCut) {
      await this.#clock.sleep(this.#timing.connectTimeoutMs);
      throw new Error(signal.aborted ? "aborted" : "connect timeout");
    }
    return this.#open();
  }

  async #serve(
    connection: SimulatedConnection,
    request: StoreRequest,
  ): Promise<RawStoreResponse> {
    const response = connection.isSilent
      ? undefined
      : await this.#answer(request);
    // An answer that was on its way when the connection became silent is lost.
    return response && !connection.isSilent
      ? response
      : await new Promise<never>(() => undefined);
  }

  async #answer({ path, isHeld }: StoreRequest): Promise<RawStoreResponse> {
    const [, key = "", query = ""] = /^\/objects\/([^?]+)(?:\?(.*))?$/
      .exec(path) ?? [];
    const parameters = new URLSearchParams(query);
    const name = decodeURIComponent(key);
    const after = {
      era: this.#server.era,
      revision: Number(parameters.get("after")),
    };
    const result = isHeld
      ? await this.#server.watch(
        name,
        after,
        Number(parameters.get("timeoutMs")),
      )
      : await this.#server.read(name);
    const object = result.unwrapOr(undefined);
    const status = result.isErr() ? 503 : object ? 200 : isHeld ? 204 : 404;
    const body = object &&
      { version: object.version.revision, value: object.value };
    return {
      statusCode: status,
      headers: {},
      body: { text: () => Promise.resolve(JSON.stringify(body ?? null)) },
    };
  }
}
