/**
 * Minimal in-memory object store without delays, long polls and partial faults.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { isLaterVersion, ObjectStore } from "../store/mod.ts";
import type { StoredObject, StoreFailure, StoreVersion } from "../store/mod.ts";

const UNAVAILABLE: StoreFailure = {
  kind: "unavailable",
  message: "the store is down",
};

/** Object store that all clients share; `watch` returns immediately. */
export class MemoryStore extends ObjectStore {
  reads = 0;
  writes = 0;
  isDown = false;
  override era = 1;
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
    expected: StoreVersion,
  ): Promise<Result<StoreVersion, StoreFailure>> {
    this.writes += 1;
    const current = this.#objects.get(key);
    if (this.isDown) {
      return Promise.resolve(err(UNAVAILABLE));
    }
    if ((current?.version.revision ?? 0) !== expected.revision) {
      return Promise.resolve(
        err({
          kind: "conflict",
          message: "the object has a different version",
          current,
        }),
      );
    }
    const version = { era: this.era, revision: expected.revision + 1 };
    this.#objects.set(key, { version, value });
    return Promise.resolve(ok(version));
  }

  /** Loses all objects and starts a new era, as a store that returns from an empty copy. */
  returnFromCopy(): void {
    this.era += 1;
    this.#objects.clear();
  }

  override async watch(
    key: string,
    after: StoreVersion,
    _timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const read = await this.read(key);
    return read.map((object) =>
      object && isLaterVersion(object.version, after) ? object : undefined
    );
  }
}
