/**
 * Rate limiting of the calls that one process makes to the object API.
 */

import { err } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock } from "../time/mod.ts";
import { FAILURE_REASONS, ObjectStore } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type { StoreVersion } from "./store_version.ts";

/** Limits of the calls that one daemon makes. */
export const DAEMON_CALL_LIMITS = {
  burstCalls: 10,
  callsPerSecond: 1,
} as const;

/** Dependencies and limits of the rate-limited store. */
export interface RateLimitedObjectStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Capacity of the token bucket, in calls. */
  readonly burstCalls: number;
  /** Sustained rate of calls. */
  readonly callsPerSecond: number;
}

/** Limits calls by a token bucket; calls over the limit fail immediately as unavailable. */
export class RateLimitedObjectStore extends ObjectStore {
  readonly #options: RateLimitedObjectStoreOptions;
  #tokens: number;
  #refilledAtMs: number;

  constructor(options: RateLimitedObjectStoreOptions) {
    super();
    this.#options = options;
    this.#tokens = options.burstCalls;
    this.#refilledAtMs = options.clock.monotonicMs();
  }

  override get era(): number {
    return this.#options.store.era;
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    return this.#tryTakeToken()
      ? await this.#options.store.read(key)
      : err(createRateLimitFailure());
  }

  override async write(
    key: string,
    value: unknown,
    expected: StoreVersion,
  ): Promise<Result<StoreVersion, StoreFailure>> {
    return this.#tryTakeToken()
      ? await this.#options.store.write(key, value, expected)
      : err(createRateLimitFailure());
  }

  override async watch(
    key: string,
    after: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    return this.#tryTakeToken()
      ? await this.#options.store.watch(key, after, timeoutMs)
      : err(createRateLimitFailure());
  }

  #tryTakeToken(): boolean {
    const { burstCalls, callsPerSecond, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const refilledTokens = (nowMs - this.#refilledAtMs) / 1_000 *
      callsPerSecond;
    this.#tokens = Math.min(burstCalls, this.#tokens + refilledTokens);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}

function createRateLimitFailure(): StoreFailure {
  return {
    kind: "unavailable",
    message: "the rate limit of store calls is exceeded",
    reason: FAILURE_REASONS.limited,
  };
}
