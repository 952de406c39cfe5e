/**
 * Client of the platform's object API.
 */

export { Backoff } from "./backoff.ts";
export type { BackoffOptions } from "./backoff.ts";
export { RateLimitedObjectStore } from "./rate_limited_object_store.ts";
export type { RateLimitedObjectStoreOptions } from "./rate_limited_object_store.ts";
export {
  createStatusFailure,
  parseResponseBody,
  StoreDialect,
} from "./store_dialect.ts";
export type {
  StoreRequest,
  StoreResponse,
  WatchResult,
} from "./store_dialect.ts";
export { HttpObjectStore } from "./http_object_store.ts";
export { ObjectStore } from "./object_store.ts";
export type { StoredObject, StoreFailure } from "./object_store.ts";
