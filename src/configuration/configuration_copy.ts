/**
 * Copy of the active configuration in the store, for a fleet that starts while the
 * store holds a version that it refuses.
 *
 * It is written only after a refusal, and belongs to the refused object: a copy that
 * was made for another one may be older than what was active since, so it is not used.
 */

import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Backoff, NO_VERSION } from "../store/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationProgress } from "./configuration_progress.ts";
import {
  createConfigurationTransfer,
  FULL_DOCUMENT,
  readConfigurationTransfer,
} from "./configuration_transfer.ts";
import type { ConfigurationUpdater } from "./configuration_updater.ts";
import { PEER_WAIT_TIMEOUT_MS } from "./is_version_confirmed.ts";
import { REFUSAL_SOURCES } from "./refused_version.ts";
import type { RefusedVersion } from "./refused_version.ts";

/** Dependencies of the copy. */
export interface ConfigurationCopyOptions {
  readonly store: ObjectStore;
  readonly holder: ConfigurationHolder;
  readonly updater: ConfigurationUpdater;
  readonly progress: ConfigurationProgress;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
}

/** Content of the object. */
interface StoredCopy {
  /** Version of the copied configuration. */
  readonly version: number;
  readonly refusedVersion: number;
  /** Revision of the refused object. */
  readonly refusedRevision: number;
  /** Transfer of the whole document, encoded as base64. */
  readonly transfer: string;
}

/** Key of the object. */
const COPY_KEY = "configuration-copies/active";

/** Maximum size of the object; the store takes values of 1 MB. */
const MAX_COPY_BYTES = 900_000;

/** Maximum delay before the object is written, so that most daemons find it written, in milliseconds. */
const MAX_SAVE_DELAY_MS = 2_000;

/** Attempts to write the object; after them, another daemon's attempt or the next refusal has to do. */
const MAX_SAVE_ATTEMPTS = 6;

/** Backoff after calls that failed and writes that came second. */
const SAVE_BACKOFF = { firstDelayMs: 500, maxDelayMs: 8_000 } as const;

/** Mean interval at which a daemon without a configuration looks for a copy, in milliseconds. */
const LOAD_INTERVAL_MS = 15_000;

/** Writes and reads the copy. */
export class ConfigurationCopy {
  readonly #options: ConfigurationCopyOptions;
  #version = 0;
  #isStopped = false;
  #nextLoadMs: number;

  constructor(options: ConfigurationCopyOptions) {
    this.#options = options;
    this.#nextLoadMs = options.clock.monotonicMs() + PEER_WAIT_TIMEOUT_MS;
  }

  /** Version that this daemon took from the copy; 0 if it took none. */
  get version(): number {
    return this.#version;
  }

  /** Writes the active configuration, unless it is written already or a newer one is active by then. */
  async save(refused: RefusedVersion): Promise<void> {
    const { clock, holder, log, random } = this.#options;
    const backoff = new Backoff(random, SAVE_BACKOFF);
    await clock.sleep(random.nextInteger(MAX_SAVE_DELAY_MS));
    for (let attempt = 0; attempt < MAX_SAVE_ATTEMPTS; attempt += 1) {
      // The version of an object that does not state one is unknown.
      const isNewerActive = refused.version > 0 &&
        holder.version >= refused.version;
      if (holder.version === 0 || isNewerActive || this.#isStopped) {
        return;
      }
      const written = await this.#write(refused);
      if (written.isOk() || this.#isStopped) {
        return;
      }
      log.warn({ error: written.error }, "configuration-copy-failed");
      await clock.sleep(backoff.nextDelayMs());
    }
  }

  /** Ends the attempts to write. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Activates the copy that was made for a refused object of the store, if this daemon
   * has no configuration and knows no peer that has one.
   */
  async loadIfNeeded(hasPeers: boolean): Promise<void> {
    const { clock, holder, progress, random } = this.#options;
    const { refused } = progress.describe();
    const nowMs = clock.monotonicMs();
    const isNeeded = refused?.source === REFUSAL_SOURCES.store &&
      holder.version === 0 && !hasPeers;
    if (isNeeded && nowMs >= this.#nextLoadMs) {
      this.#nextLoadMs = nowMs + LOAD_INTERVAL_MS / 2 +
        random.nextInteger(LOAD_INTERVAL_MS);
      await this.#load(refused);
    }
  }

  async #load(refused: RefusedVersion): Promise<void> {
    const { log, store, updater } = this.#options;
    const stored = await store.read(COPY_KEY);
    if (stored.isErr()) {
      log.warn({ error: stored.error.message }, "configuration-copy-failed");
      return;
    }
    const copy = readCopy(stored.value?.value);
    if (
      !copy || copy.refusedVersion !== refused.version ||
      copy.refusedRevision !== refused.revision
    ) {
      log.warn({
        ...{ refusedVersion: refused.version },
        copyFor: copy?.refusedVersion ?? 0,
      }, "configuration-copy-missing");
      return;
    }
    const bytes = Buffer.from(copy.transfer, "base64");
    const received = readConfigurationTransfer(bytes, undefined);
    if (received.isErr()) {
      const { message } = received.error;
      log.error({ error: message }, "configuration-copy-failed");
    } else if (received.value && updater.activate(received.value, "copy")) {
      this.#version = received.value.version;
    }
  }

  async #write(refused: RefusedVersion): Promise<Result<void, string>> {
    const { holder, log, store } = this.#options;
    const stored = await store.read(COPY_KEY);
    if (stored.isErr()) {
      return err(stored.error.message);
    }
    const { version } = holder;
    const known = readCopy(stored.value?.value);
    const isWritten = known !== undefined && (known.version > version ||
      known.version === version && known.refusedRevision >= refused.revision);
    if (isWritten) {
      return ok(undefined);
    }
    const bytes = createConfigurationTransfer(holder, FULL_DOCUMENT);
    const transfer = Buffer.from(bytes).toString("base64");
    if (transfer.length > MAX_COPY_BYTES) {
      const lengthBytes = transfer.length;
      log.warn({ version, lengthBytes }, "configuration-copy-too-large");
      return ok(undefined);
    }
    const copy: StoredCopy = {
      ...{ version, transfer, refusedVersion: refused.version },
      refusedRevision: refused.revision,
    };
    const expected = stored.value?.version ?? NO_VERSION;
    const written = await store.write(COPY_KEY, copy, expected);
    return written.map(() => {
      log.info(
        { version, refusedVersion: refused.version },
        "configuration-copied",
      );
    }).mapErr(({ message }) => message);
  }
}

/** Reads the content of the object; undefined if it is none of this form. */
function readCopy(value: unknown): StoredCopy | undefined {
  const { version, refusedVersion, refusedRevision, transfer } =
    (value ?? {}) as Partial<StoredCopy>;
  return Number.isSafeInteger(version) && Number.isFinite(refusedVersion) &&
      Number.isSafeInteger(refusedRevision) && typeof transfer === "string"
    ? value as StoredCopy
    : undefined;
}
