/**
 * Minimal in-memory object store without delays, long polls and partial faults.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ObjectStore } from "../store/mod.ts";
import type { StoredObject, StoreFailure } from "../store/mod.ts";

const UNAVAILABLE: StoreFailure = {
  kind: "unavailable",
  message: "the store is down",
};

/** Object store that all clients share; `watch` returns immediately. */
export class MemoryStore extends ObjectStore {
  reads = 0;
  writes = 0;
  isDown = false;
  readonly #objects = new Map<string, StoredObject>();

  override read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    this.reads += 1;
    return Promise.resolve(
      this.isDown ? err(UNAVAILABLE) : ok(this.#objects.get(key)),
    );
  }

  override write(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreFailure>> {
    this.writes += 1;
    const current = this.#objects.get(key);
    if (this.isDown) {
      return Promise.resolve(err(UNAVAILABLE));
    }
    if ((current?.version ?? 0) !== expectedVersion) {
      return Promise.resolve(
        err({
          kind: "conflict",
          message: "the object has a different version",
          current,
        }),
      );
    }
    this.#objects.set(key, { version: expectedVersion + 1, value });
    return Promise.resolve(ok(expectedVersion + 1));
  }

  override watch(
    key: string,
    _afterVersion: number,
    _timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    return this.read(key);
  }
}
