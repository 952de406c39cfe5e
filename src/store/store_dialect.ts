/**
 * Encoding of object API calls as HTTP requests; one dialect per API variant.
 */

import type { Result } from "neverthrow";
import { FAILURE_REASONS } from "./object_store.ts";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type { StoreVersion } from "./store_version.ts";

/** An HTTP request to the store. */
export interface StoreRequest {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Whether the store holds the request until there is a change. */
  readonly isHeld?: boolean;
}

/** An HTTP response from the store. */
export interface StoreResponse {
  readonly status: number;
  readonly text: string;
  /** Era of the store that answered; 0 for a store that has no eras. */
  readonly era: number;
}

/** What a watch continues from. */
export interface WatchPosition {
  /** The version that the watcher knows. */
  readonly after: StoreVersion;
  /** Era of the store when the request was sent. */
  readonly era: number;
}

/** The result of one watch request. */
export interface WatchResult {
  /** The object, if its version is later than the one that the watcher knows. */
  readonly object: StoredObject | undefined;
  /**
   * Whether the response only contained the position to watch from, so that the
   * watch must be repeated.
   */
  readonly isPositionOnly: boolean;
  /** Whether the response contained only a part of the objects and not this one, so that it must be read. */
  readonly isIncomplete?: boolean;
}

/** Headers of a response, with lower-case names. */
export type StoreHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Encodes calls to an object API and decodes its responses. */
export abstract class StoreDialect {
  /** Returns the era that a response states; undefined if it states none. */
  readEra(_headers: StoreHeaders): string | undefined {
    return "0"; // A store that has no eras stays in era 0.
  }

  /** Encodes a read of an object. */
  abstract encodeRead(key: string): StoreRequest;

  /** Decodes the response to a read; undefined if the object does not exist. */
  abstract decodeRead(
    key: string,
    response: StoreResponse,
  ): Result<StoredObject | undefined, StoreFailure>;

  /** Encodes a conditional write; `NO_VERSION` means that the object does not exist. */
  abstract encodeWrite(
    key: string,
    value: unknown,
    expected: StoreVersion,
  ): StoreRequest;

  /** Decodes the response to a write; returns the new version. */
  abstract decodeWrite(
    key: string,
    expected: StoreVersion,
    response: StoreResponse,
  ): Result<StoreVersion, StoreFailure>;

  /** Encodes a watch for a later version, with a timeout in milliseconds. */
  abstract encodeWatch(
    key: string,
    position: WatchPosition,
    timeoutMs: number,
  ): StoreRequest;

  /**
   * Forgets the position from which an object is watched, after a watch that got no
   * response: the store may have returned from a copy meanwhile, and would let a
   * watch from a revision that it has not reached again wait in vain.
   */
  forgetWatchPosition(_key: string): void {
    // A dialect that keeps no position has nothing to forget.
  }

  /** Decodes the response to a watch. */
  abstract decodeWatch(
    key: string,
    position: WatchPosition,
    response: StoreResponse,
  ): Result<WatchResult, StoreFailure>;
}

/**
 * Parses the JSON body of a response.
 *
 * @param response - The response
 * @returns The value, or undefined if the body is not JSON
 *
 * @example
 * const value = parseResponseBody(response);
 */
export function parseResponseBody({ text }: StoreResponse): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined; // The caller reports an unparsable body as a failure.
  }
}

/**
 * Creates the failure for a response with an unexpected status or body.
 *
 * @param kind - Kind of the failure
 * @param response - The response
 * @returns The failure, with the status in its message
 *
 * @example
 * return err(createStatusFailure("unavailable", response));
 */
export function createStatusFailure(
  kind: StoreFailure["kind"],
  response: StoreResponse,
): StoreFailure {
  const message = `status ${response.status}`;
  return { kind, message, reason: FAILURE_REASONS.refused };
}
