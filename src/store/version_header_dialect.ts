/**
 * The basic variant of the object API: one path per object, with the expected
 * version of a write in `if-match`.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { StoredObject, StoreFailure } from "./object_store.ts";
import type { StoreVersion } from "./store_version.ts";
import {
  createStatusFailure,
  parseResponseBody,
  StoreDialect,
} from "./store_dialect.ts";
import type {
  StoreRequest,
  StoreResponse,
  WatchPosition,
  WatchResult,
} from "./store_dialect.ts";

const STATUS = {
  ok: 200,
  noChange: 204,
  notFound: 404,
  preconditionFailed: 412,
} as const;

/** Encodes and decodes calls of the basic variant. */
export class VersionHeaderDialect extends StoreDialect {
  override encodeRead(key: string): StoreRequest {
    return { method: "GET", path: formatObjectPath(key) };
  }

  override decodeRead(
    _key: string,
    response: StoreResponse,
  ): Result<StoredObject | undefined, StoreFailure> {
    if (response.status === STATUS.notFound) {
      return ok(undefined);
    }
    return decodeObject(response);
  }

  override encodeWrite(
    key: string,
    value: unknown,
    expected: StoreVersion,
  ): StoreRequest {
    return {
      method: "PUT",
      path: formatObjectPath(key),
      headers: {
        "content-type": "application/json",
        "if-match": String(expected.revision),
      },
      body: JSON.stringify(value),
    };
  }

  override decodeWrite(
    _key: string,
    _expected: StoreVersion,
    response: StoreResponse,
  ): Result<StoreVersion, StoreFailure> {
    const object = parseObject(response);
    if (response.status === STATUS.ok && object) {
      return ok(object.version);
    }
    return response.status === STATUS.preconditionFailed
      ? err({
        kind: "conflict",
        message: "the object has a different version",
        current: object,
      })
      : err(createStatusFailure("unsure", response));
  }

  override encodeWatch(
    key: string,
    { after }: WatchPosition,
    timeoutMs: number,
  ): StoreRequest {
    const query = `after=${after.revision}&timeoutMs=${timeoutMs}`;
    return {
      method: "GET",
      path: `${formatObjectPath(key)}?${query}`,
      isHeld: true,
    };
  }

  override decodeWatch(
    _key: string,
    _position: WatchPosition,
    response: StoreResponse,
  ): Result<WatchResult, StoreFailure> {
    const { status } = response;
    if (status === STATUS.noChange || status === STATUS.notFound) {
      return ok({ object: undefined, isPositionOnly: false });
    }
    return decodeObject(response).map((object) => ({
      object,
      isPositionOnly: false,
    }));
  }
}

function decodeObject(
  response: StoreResponse,
): Result<StoredObject, StoreFailure> {
  const object = parseObject(response);
  return response.status === STATUS.ok && object
    ? ok(object)
    : err(createStatusFailure("unavailable", response));
}

/** Parses an object; its version is a plain revision on the wire. */
function parseObject(response: StoreResponse): StoredObject | undefined {
  const object = parseResponseBody(response) as
    | { readonly version: number; readonly value: unknown }
    | undefined;
  return object && {
    version: { era: response.era, revision: object.version },
    value: object.value,
  };
}

function formatObjectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}
