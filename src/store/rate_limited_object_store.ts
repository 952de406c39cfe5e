/**
 * Rate limiting of the calls that one process makes to the object API.
 */

import { err } from "neverthrow";
import type { Result } from "neverthrow";
import type { Clock } from "../time/mod.ts";
import { FAILURE_REASONS, ObjectStore } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type { StoreTiming } from "./store_timing.ts";
import type { StoreVersion } from "./store_version.ts";

/** Maximum burst of calls by one daemon. */
const BURST_CALLS = 10;

/** Sustained calls of one daemon in the time of one watch; the others are for changes and seed lists. */
const CALLS_PER_WATCH = 1.5;

/**
 * Derives the limits of the calls that one daemon makes from the length of a watch.
 *
 * @param timing - Timeouts of the store client
 * @returns Capacity of the token bucket in calls, and calls per second
 *
 * @example
 * createCallLimits(createStoreTiming(4_000)).callsPerSecond; // 1
 */
export function createCallLimits(
  { watchTimeoutMs }: Pick<StoreTiming, "watchTimeoutMs">,
): { readonly burstCalls: number; readonly callsPerSecond: number } {
  return {
    burstCalls: BURST_CALLS,
    callsPerSecond: CALLS_PER_WATCH * 1_000 / watchTimeoutMs,
  };
}

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
