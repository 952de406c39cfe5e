/**
 * The form in which an object API is spoken to.
 */

import type { Result } from "neverthrow";
import type { StoredObject, StoreFailure } from "./object_store.ts";

/** One HTTP request to the store. */
export interface StoreRequest {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** The store's answer. */
export interface StoreResponse {
  readonly status: number;
  readonly text: string;
}

/** What a watch has come to. */
export interface WatchResult {
  /** The object, if it has a version above the one that the watcher knows. */
  readonly object: StoredObject | undefined;
  /** Whether the answer only told where to watch from, so that the wait is still to come. */
  readonly isPositionOnly: boolean;
}

/** Encodes calls to an object API and decodes its answers. */
export abstract class StoreDialect {
  abstract encodeRead(key: string): StoreRequest;

  abstract decodeRead(
    key: string,
    response: StoreResponse,
  ): Result<StoredObject | undefined, StoreFailure>;

  /** `expectedVersion` 0 stands for an object that does not exist. */
  abstract encodeWrite(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): StoreRequest;

  abstract decodeWrite(
    key: string,
    response: StoreResponse,
  ): Result<number, StoreFailure>;

  abstract encodeWatch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): StoreRequest;

  abstract decodeWatch(
    key: string,
    afterVersion: number,
    response: StoreResponse,
  ): Result<WatchResult, StoreFailure>;
}

/**
 * Parses the JSON body of an answer.
 *
 * @param response - The answer
 * @returns The value, or undefined where the body is not JSON
 *
 * @example
 * const value = parseStoreBody(response);
 */
export function parseResponseBody({ text }: StoreResponse): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined; // The caller reports an unusable body as a failure.
  }
}

/**
 * Describes an answer that cannot be used.
 *
 * @param kind - What became of the call
 * @param response - The answer
 * @returns The failure
 *
 * @example
 * return err(describeAnswer("unavailable", response));
 */
export function createStatusFailure(
  kind: StoreFailure["kind"],
  response: StoreResponse,
): StoreFailure {
  return { kind, message: `status ${response.status}` };
}
