/**
 * Access to the platform's object API.
 */

export { Backoff } from "./backoff.ts";
export type { BackoffOptions } from "./backoff.ts";
export { BudgetedObjectStore } from "./budgeted_object_store.ts";
export type { BudgetedObjectStoreOptions } from "./budgeted_object_store.ts";
export {
  describeAnswer,
  parseStoreBody,
  StoreDialect,
} from "./store_dialect.ts";
export type {
  StoreRequest,
  StoreResponse,
  WatchProgress,
} from "./store_dialect.ts";
export { HttpObjectStore } from "./http_object_store.ts";
export { ObjectStore } from "./object_store.ts";
export type { StoredObject, StoreFailure } from "./object_store.ts";
