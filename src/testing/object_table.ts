/**
 * In-memory table of versioned objects, with conditional updates and change
 * listeners.
 */

import type { StoredObject, StoreVersion } from "../store/mod.ts";

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

  #era = 0;
  /** Objects before each change, latest last. */
  readonly #changes: {
    readonly key: string;
    readonly before: ObjectVersions | undefined;
  }[] = [];

  /** Number of times that the table has returned from a copy. */
  get era(): number {
    return this.#era;
  }

  /** Undoes the latest changes and starts a new era, as a store that returns from a copy. */
  returnFromCopy(lostChanges: number): void {
    const lost = this.#changes.splice(
      Math.max(0, this.#changes.length - lostChanges),
    );
    for (const { key, before } of lost.reverse()) {
      if (before) {
        this.#objects.set(key, before);
      } else {
        this.#objects.delete(key);
      }
    }
    this.#era += 1;
    this.notifyAll();
  }

  /** Returns the current object. */
  get(key: string): StoredObject | undefined {
    return this.#withEra(this.#objects.get(key)?.current);
  }

  /** Returns the previous version of the object, or the only one. */
  getPrevious(key: string): StoredObject | undefined {
    const versions = this.#objects.get(key);
    return this.#withEra(versions?.previous ?? versions?.current);
  }

  /** Replaces the object if it has the expected revision (0: does not exist). */
  put(key: string, text: string, { revision }: StoreVersion): PutResult {
    const current = this.get(key);
    if (revision !== (current?.version.revision ?? 0)) {
      return { isAccepted: false, current };
    }
    const version = { era: this.#era, revision: revision + 1 };
    const next = { version, value: JSON.parse(text) };
    this.#changes.push({ key, before: this.#objects.get(key) });
    this.#objects.set(key, { current: next, previous: current });
    this.notify(key);
    return { isAccepted: true, current: next };
  }

  #withEra(object: StoredObject | undefined): StoredObject | undefined {
    return object && {
      ...object,
      version: { ...object.version, era: this.#era },
    };
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
