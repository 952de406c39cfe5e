/**
 * Client of the platform's object API.
 */

export { Backoff } from "./backoff.ts";
export type { BackoffOptions } from "./backoff.ts";
export {
  createCallLimits,
  RateLimitedObjectStore,
} from "./rate_limited_object_store.ts";
export type { RateLimitedObjectStoreOptions } from "./rate_limited_object_store.ts";
export {
  createStatusFailure,
  parseResponseBody,
  StoreDialect,
} from "./store_dialect.ts";
export type {
  StoreHeaders,
  StoreRequest,
  StoreResponse,
  WatchPosition,
  WatchResult,
} from "./store_dialect.ts";
export { EraTracker } from "./era_tracker.ts";
export type { EraEvent, ReportEra } from "./era_tracker.ts";
export { isLaterVersion, NO_VERSION } from "./store_version.ts";
export type { StoreVersion } from "./store_version.ts";
export { HttpObjectStore } from "./http_object_store.ts";
export type {
  HttpObjectStoreOptions,
  RawStoreResponse,
  StoreCall,
} from "./http_object_store.ts";
export { FAILURE_REASONS, ObjectStore } from "./object_store.ts";
export { repeatCall } from "./repeat_call.ts";
export type { RepeatOptions } from "./repeat_call.ts";
export type {
  FailureReason,
  StoredObject,
  StoreFailure,
} from "./object_store.ts";
export { createStoreTiming, DEFAULT_CONTACT_MS } from "./store_timing.ts";
export type { StoreTiming } from "./store_timing.ts";
