/**
 * Access to the platform's object API.
 */

export { HttpObjectStore } from "./http_object_store.ts";
export { ObjectStore } from "./object_store.ts";
export type { StoredObject, StoreFailure } from "./object_store.ts";
