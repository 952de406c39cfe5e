/**
 * In-memory object store client of one process, with its own faults.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { isLaterVersion, NO_VERSION, ObjectStore } from "../store/mod.ts";
import type { StoredObject, StoreFailure, StoreVersion } from "../store/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { ObjectApiFaults } from "./object_api_stand_in.ts";
import type { ObjectTable } from "./object_table.ts";

/** Dependencies of the store. */
export interface MemoryObjectStoreOptions {
  readonly table: ObjectTable;
  readonly clock: Clock;
  readonly faults: ObjectApiFaults;
}

/** Calls of one process, and the size of their responses in bytes. */
export interface StoreTraffic {
  calls: number;
  bytes: number;
}

/** Object store client that accesses an object table directly. */
export class MemoryObjectStore extends ObjectStore {
  readonly traffic: StoreTraffic = { calls: 0, bytes: 0 };
  readonly #options: MemoryObjectStoreOptions;

  constructor(options: MemoryObjectStoreOptions) {
    super();
    this.#options = options;
  }

  override get era(): number {
    return this.#options.table.era;
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    this.traffic.calls += 1;
    await this.#delay();
    return this.#options.faults.isDown
      ? err(createFailure("unavailable"))
      : ok(this.#createResponse(this.#getVisible(key)));
  }

  override async write(
    key: string,
    value: unknown,
    expected: StoreVersion,
  ): Promise<Result<StoreVersion, StoreFailure>> {
    const { faults, table } = this.#options;
    this.traffic.calls += 1;
    await this.#delay();
    if (faults.isDown) {
      return err(createFailure("unsure"));
    }
    const text = JSON.stringify(value);
    const isOutdated = expected.revision > 0 && expected.era !== table.era;
    if (isOutdated) {
      return err({ ...createFailure("conflict"), current: table.get(key) });
    }
    const outcome = table.put(key, text, expected);
    await this.#delay();
    if (faults.losesResponses || faults.isDown) {
      return err(createFailure("unsure"));
    }
    return outcome.isAccepted
      ? ok(outcome.current?.version ?? NO_VERSION)
      : err({ ...createFailure("conflict"), current: outcome.current });
  }

  override async watch(
    key: string,
    after: StoreVersion,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    this.traffic.calls += 1;
    await this.#delay();
    if (this.#options.faults.isDown) {
      return err(createFailure("unavailable"));
    }
    const { clock, faults } = this.#options;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    // Notifications that no object changed end the watches of a store that went down only.
    while (
      !faults.isDown && !this.#hasChanged(key, after) &&
      clock.monotonicMs() < deadlineMs
    ) {
      await this.#waitForNotification(key, deadlineMs - clock.monotonicMs());
    }
    if (faults.isDown) {
      return err(createFailure("unavailable"));
    }
    const object = this.#getVisible(key);
    return ok(
      object && isLaterVersion(object.version, after)
        ? this.#createResponse(object)
        : undefined,
    );
  }

  async #delay(): Promise<void> {
    const { clock, faults } = this.#options;
    await clock.sleep(faults.delayMs);
  }

  #createResponse(object: StoredObject | undefined): StoredObject | undefined {
    const text = JSON.stringify(object ?? null);
    this.traffic.bytes += text.length;
    return JSON.parse(text) ?? undefined;
  }

  #getVisible(key: string): StoredObject | undefined {
    const { faults, table } = this.#options;
    return faults.servesStaleReads ? table.getPrevious(key) : table.get(key);
  }

  #hasChanged(key: string, after: StoreVersion): boolean {
    const version = this.#options.table.get(key)?.version ?? NO_VERSION;
    return isLaterVersion(version, after);
  }

  #waitForNotification(key: string, timeoutMs: number): Promise<void> {
    const { clock, table } = this.#options;
    return new Promise((resolve) => {
      const finish = () => {
        unsubscribe();
        cancelTimeout();
        resolve();
      };
      const unsubscribe = table.onChange(key, finish);
      const cancelTimeout = clock.schedule(timeoutMs, finish);
    });
  }
}

function createFailure(kind: StoreFailure["kind"]): StoreFailure {
  return { kind, message: `simulated store failure: ${kind}` };
}
