/**
 * Access to the platform's object API.
 */

export { Backoff } from "./backoff.ts";
export type { BackoffOptions } from "./backoff.ts";
export { BudgetedObjectStore } from "./budgeted_object_store.ts";
export type { BudgetedObjectStoreOptions } from "./budgeted_object_store.ts";
export { HttpObjectStore } from "./http_object_store.ts";
export { ObjectStore } from "./object_store.ts";
export type { StoredObject, StoreFailure } from "./object_store.ts";
