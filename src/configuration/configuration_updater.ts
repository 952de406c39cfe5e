/**
 * Activates or rejects the configurations that a daemon receives.
 *
 * All updates, from the store or from peers, pass through this class.
 */

import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { TransferredConfiguration } from "./configuration_transfer.ts";

/** Dependencies of the updater. */
export interface ConfigurationUpdaterOptions {
  readonly holder: ConfigurationHolder;
  readonly log: Logger;
  readonly journal: DecisionJournal;
  /** Notifies peers that the local version has changed. */
  readonly announce: () => void;
}

/** Activates received configurations and remembers the highest rejected version. */
export class ConfigurationUpdater {
  readonly #options: ConfigurationUpdaterOptions;
  #rejectedVersion = 0;

  constructor(options: ConfigurationUpdaterOptions) {
    this.#options = options;
  }

  /** Whether a version is newer than the active one and has not been rejected. */
  isCandidate(version: number): boolean {
    const { holder } = this.#options;
    return version > Math.max(holder.version, this.#rejectedVersion);
  }

  /** Activates a valid configuration if its version is higher; returns whether it was activated. */
  activate(received: TransferredConfiguration, source: string): boolean {
    const { announce, holder, journal, log } = this.#options;
    const { configuration, patches, version } = received;
    const previousVersion = holder.version;
    const isNew = holder.replaceIfNewer(configuration, version, patches);
    if (isNew) {
      journal.record(DECISIONS.configurationChange, {
        version,
        previousVersion,
        source,
        patches: patches.length,
      });
      log.info({ version, previousVersion, source }, "configuration-in-force");
      announce();
    }
    return isNew;
  }

  /** Rejects an invalid version, so that it and older versions are not fetched again. */
  reject(version: number, error: string): void {
    const { journal, log } = this.#options;
    journal.record(DECISIONS.configurationRefused, { version, error });
    log.error({ version, error }, "configuration-refused");
    this.#rejectedVersion = Math.max(this.#rejectedVersion, version);
  }
}
