/**
 * Handling of the latest version that a daemon read from the store: it is activated,
 * refused, or reported as lower than the active one.
 */

import VError from "verror";
import type { StoreVersion } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationProgress } from "./configuration_progress.ts";
import type { AcceptedHead } from "./configuration_source.ts";
import type { ConfigurationUpdater } from "./configuration_updater.ts";
import { OLD_VERSION_REASON } from "./refused_version.ts";
import type { StorePoller } from "./store_poller.ts";

/** Dependencies of the activator. */
export interface HeadActivatorOptions {
  readonly holder: ConfigurationHolder;
  readonly updater: ConfigurationUpdater;
  readonly poller: StorePoller;
  readonly progress: ConfigurationProgress;
  readonly log: Logger;
}

/** Activates or refuses the heads that a daemon reads from the store. */
export class HeadActivator {
  readonly #options: HeadActivatorOptions;

  constructor(options: HeadActivatorOptions) {
    this.#options = options;
  }

  /** Activates the state of a head; returns false if the store has to be read again. */
  async apply(head: AcceptedHead): Promise<boolean> {
    const { holder, poller, progress, updater } = this.#options;
    const { storeVersion } = head;
    if (head.version !== undefined) {
      progress.recordStored(head.version);
    }
    if (head.version === undefined || updater.isNewer(head.version)) {
      const { current } = holder;
      const state = await head.readState(
        current && {
          version: current.version,
          configuration: current.document,
          answers: null,
        },
      );
      if (state.isErr()) {
        return this.#handleStateError(state.error, head.version, storeVersion);
      }
      const patches = head.changes.filter(({ version }) =>
        version > holder.version
      ).flatMap(({ patch }) => patch === undefined ? [] : [patch]);
      updater.activate({ ...state.value, patches }, "store");
      progress.recordAccepted();
    } else if (head.version === holder.version) {
      progress.recordAccepted();
    } else {
      this.#reportLowerVersion(head.version, storeVersion);
    }
    poller.record(storeVersion, head.version ?? 0);
    return true;
  }

  /**
   * Names a version of the store that is lower than the active one. It is refused only
   * if this daemon read a higher one from the store before; else the read may be stale.
   */
  #reportLowerVersion(version: number, { revision }: StoreVersion): void {
    const { holder, log, poller, updater } = this.#options;
    if (poller.acceptedVersion > version) {
      updater.rejectStored(
        { version, revision },
        new VError(
          { info: { reason: OLD_VERSION_REASON } },
          "version %d is lower than version %d, which the store had before",
          version,
          poller.acceptedVersion,
        ),
      );
    } else {
      const activeVersion = holder.version;
      log.warn({ version, activeVersion, revision }, "store-version-lower");
    }
  }

  /**
   * Skips an invalid configuration until the next one; returns false to retry
   * after any other error.
   */
  #handleStateError(
    error: VError,
    version: number | undefined,
    storeVersion: StoreVersion,
  ): boolean {
    const { log, poller, updater } = this.#options;
    const { message, name } = error;
    const { revision } = storeVersion;
    if (name !== "ConfigurationInvalid") {
      log.warn(
        { version: version ?? 0, error: message },
        "configuration-unreadable",
      );
      return false;
    }
    updater.rejectStored({ version: version ?? 0, revision }, error);
    poller.record(storeVersion, 0);
    return true;
  }
}
