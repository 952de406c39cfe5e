/**
 * The one place where a daemon takes a configuration over or refuses it.
 */

import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { TransferredConfiguration } from "./configuration_transfer.ts";

/** Dependencies of the intake. */
export interface ConfigurationUpdaterOptions {
  readonly holder: ConfigurationHolder;
  readonly log: Logger;
  readonly journal: DecisionJournal;
  /** Tells peers that the own version has changed. */
  readonly announce: () => void;
}

/** Puts received configurations in force and remembers which version is unusable. */
export class ConfigurationUpdater {
  readonly #options: ConfigurationUpdaterOptions;
  #rejectedVersion = 0;

  constructor(options: ConfigurationUpdaterOptions) {
    this.#options = options;
  }

  /** Whether a version is above the one in force and not known to be unusable. */
  isCandidate(version: number): boolean {
    const { holder } = this.#options;
    return version > Math.max(holder.version, this.#rejectedVersion);
  }

  /** Puts a valid configuration in force if its version is higher; tells whether it did. */
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

  /** Skips a version that this daemon finds invalid, until a later one comes. */
  reject(version: number, error: string): void {
    const { journal, log } = this.#options;
    journal.record(DECISIONS.configurationRefused, { version, error });
    log.error({ version, error }, "configuration-refused");
    this.#rejectedVersion = Math.max(this.#rejectedVersion, version);
  }
}
