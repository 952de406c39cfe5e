/**
 * Reading of the configuration from the store.
 */

import type { ObjectStore, StoredObject } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import { validateConfigurationDocument } from "./validate_configuration_document.ts";

/** Object that holds the configuration. */
export const CONFIGURATION_KEY = "configuration/current";

/** How long one watch waits, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;

/** Pause after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Dependencies of the watch. */
export interface WatchConfigurationOptions {
  readonly store: ObjectStore;
  readonly holder: ConfigurationHolder;
  readonly clock: Clock;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * Keeps the holder at the store's version until the signal ends it.
 *
 * @param options - Store, holder and clock
 *
 * @example
 * void watchConfiguration({ store, holder, clock, log, signal });
 */
export async function watchConfiguration(
  options: WatchConfigurationOptions,
): Promise<void> {
  const { store, holder, clock, log, signal } = options;
  while (!signal.aborted) {
    const object = holder.version === 0
      ? await store.read(CONFIGURATION_KEY)
      : await store.watch(CONFIGURATION_KEY, holder.version, WATCH_TIMEOUT_MS);
    if (object.isErr()) {
      log.warn({ error: object.error.message }, "store-unavailable");
      await clock.sleep(RETRY_DELAY_MS);
      continue;
    }
    if (object.value) {
      takeObject(object.value, options);
    } else if (holder.version === 0) {
      await clock.sleep(RETRY_DELAY_MS);
    }
  }
}

function takeObject(
  object: StoredObject,
  { holder, log }: WatchConfigurationOptions,
): void {
  const document = validateConfigurationDocument(object.value);
  if (document.isErr()) {
    log.error(
      { version: object.version, error: document.error.message },
      "configuration-invalid",
    );
    return;
  }
  if (holder.offer(document.value, object.version)) {
    log.info({ version: object.version }, "configuration-in-force");
  }
}
