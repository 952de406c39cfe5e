/**
 * Versioned objects in memory, with conditional updates and waiting readers.
 */

import type { StoredObject } from "../store/mod.ts";

/** What a conditional update ended in. */
export interface PutOutcome {
  readonly isAccepted: boolean;
  readonly current: StoredObject | undefined;
}

interface ObjectVersions {
  readonly current: StoredObject;
  readonly previous: StoredObject | undefined;
}

/** The content of an object API. */
export class ObjectTable {
  readonly #objects = new Map<string, ObjectVersions>();
  readonly #watchers = new Map<string, Set<() => void>>();

  /** The object as it is now. */
  get(key: string): StoredObject | undefined {
    return this.#objects.get(key)?.current;
  }

  /** The object as it was before its last change. */
  getPrevious(key: string): StoredObject | undefined {
    const versions = this.#objects.get(key);
    return versions?.previous ?? versions?.current;
  }

  /** Replaces the object if it still has `expectedVersion`. */
  put(key: string, text: string, expectedVersion: number): PutOutcome {
    const current = this.get(key);
    if (expectedVersion !== (current?.version ?? 0)) {
      return { isAccepted: false, current };
    }
    const next = { version: expectedVersion + 1, value: JSON.parse(text) };
    this.#objects.set(key, { current: next, previous: current });
    this.notify(key);
    return { isAccepted: true, current: next };
  }

  /** Calls `listener` at the next change of the object; the result cancels it. */
  onChange(key: string, listener: () => void): () => void {
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    watchers.add(listener);
    return () => watchers.delete(listener);
  }

  /** Calls whoever waits for the object. */
  notify(key: string): void {
    for (const listener of [...this.#watchers.get(key) ?? []]) {
      listener();
    }
  }

  /** Calls whoever waits for any object. */
  notifyAll(): void {
    for (const key of this.#watchers.keys()) {
      this.notify(key);
    }
  }
}
