/**
 * In-memory table of versioned objects, with conditional updates and change
 * listeners.
 */

import type { StoredObject } from "../store/mod.ts";

/** Result of a conditional update, with the object stored after it. */
export interface PutResult {
  readonly isAccepted: boolean;
  readonly current: StoredObject | undefined;
}

interface ObjectVersions {
  readonly current: StoredObject;
  readonly previous: StoredObject | undefined;
}

/** Contents of an object API; keeps the previous version of each object. */
export class ObjectTable {
  readonly #objects = new Map<string, ObjectVersions>();
  readonly #watchers = new Map<string, Set<() => void>>();

  /** Returns the current object. */
  get(key: string): StoredObject | undefined {
    return this.#objects.get(key)?.current;
  }

  /** Returns the previous version of the object, or the only one. */
  getPrevious(key: string): StoredObject | undefined {
    const versions = this.#objects.get(key);
    return versions?.previous ?? versions?.current;
  }

  /** Replaces the object if its version is `expectedVersion` (0: does not exist). */
  put(key: string, text: string, expectedVersion: number): PutResult {
    const current = this.get(key);
    if (expectedVersion !== (current?.version ?? 0)) {
      return { isAccepted: false, current };
    }
    const next = { version: expectedVersion + 1, value: JSON.parse(text) };
    this.#objects.set(key, { current: next, previous: current });
    this.notify(key);
    return { isAccepted: true, current: next };
  }

  /** Calls `listener` on every change of the object; returns a function that removes it. */
  onChange(key: string, listener: () => void): () => void {
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    watchers.add(listener);
    return () => watchers.delete(listener);
  }

  /** Calls the listeners of the object. */
  notify(key: string): void {
    for (const listener of [...this.#watchers.get(key) ?? []]) {
      listener();
    }
  }

  /** Calls all listeners. */
  notifyAll(): void {
    for (const key of this.#watchers.keys()) {
      this.notify(key);
    }
  }
}
