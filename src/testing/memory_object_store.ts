/**
 * One process's access to an object table, with faults of its own.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ObjectStore } from "../store/mod.ts";
import type { StoredObject, StoreFailure } from "../store/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { ObjectApiFaults } from "./object_api_stand_in.ts";
import type { ObjectTable } from "./object_table.ts";

/** Dependencies. */
export interface MemoryObjectStoreOptions {
  readonly table: ObjectTable;
  readonly clock: Clock;
  readonly faults: ObjectApiFaults;
}

/** Calls and answer bytes of one process. */
export interface StoreTraffic {
  calls: number;
  bytes: number;
}

/** An object store without a network. */
export class MemoryObjectStore extends ObjectStore {
  readonly traffic: StoreTraffic = { calls: 0, bytes: 0 };
  readonly #options: MemoryObjectStoreOptions;

  constructor(options: MemoryObjectStoreOptions) {
    super();
    this.#options = options;
  }

  override async read(
    key: string,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    this.traffic.calls += 1;
    await this.#pass();
    return this.#options.faults.isDown
      ? err(createFailure("unavailable"))
      : ok(this.#answer(this.#visible(key)));
  }

  override async write(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<number, StoreFailure>> {
    const { faults, table } = this.#options;
    this.traffic.calls += 1;
    await this.#pass();
    if (faults.isDown) {
      return err(createFailure("unsure"));
    }
    const text = JSON.stringify(value);
    const outcome = table.put(key, text, expectedVersion);
    await this.#pass();
    if (faults.losesResponses || faults.isDown) {
      return err(createFailure("unsure"));
    }
    return outcome.isAccepted
      ? ok(outcome.current?.version ?? 0)
      : err({ ...createFailure("conflict"), current: outcome.current });
  }

  override async watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Result<StoredObject | undefined, StoreFailure>> {
    this.traffic.calls += 1;
    await this.#pass();
    if (this.#options.faults.isDown) {
      return err(createFailure("unavailable"));
    }
    await this.#waitForChange(key, afterVersion, timeoutMs);
    if (this.#options.faults.isDown) {
      return err(createFailure("unavailable"));
    }
    const object = this.#visible(key);
    return ok(
      object && object.version > afterVersion
        ? this.#answer(object)
        : undefined,
    );
  }

  async #pass(): Promise<void> {
    const { clock, faults } = this.#options;
    await clock.sleep(faults.delayMs);
  }

  #answer(object: StoredObject | undefined): StoredObject | undefined {
    const text = JSON.stringify(object ?? null);
    this.traffic.bytes += text.length;
    return JSON.parse(text) ?? undefined;
  }

  #visible(key: string): StoredObject | undefined {
    const { faults, table } = this.#options;
    return faults.servesStaleReads ? table.getPrevious(key) : table.get(key);
  }

  #waitForChange(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<void> {
    const { clock, table } = this.#options;
    if ((table.get(key)?.version ?? 0) > afterVersion) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = () => {
        forget();
        cancelTimeout();
        resolve();
      };
      const forget = table.onChange(key, finish);
      const cancelTimeout = clock.schedule(timeoutMs, finish);
    });
  }
}

function createFailure(kind: StoreFailure["kind"]): StoreFailure {
  return { kind, message: `the stand-in ends calls as ${kind}` };
}
