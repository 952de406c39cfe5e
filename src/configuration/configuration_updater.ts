/**
 * Activates or rejects the configurations that a daemon receives.
 *
 * All updates, from the store or from peers, pass through this class. A rejection
 * holds for what was rejected only: an object of the store at its revision, or the
 * copy of one peer. It never blocks another version, nor the same version from
 * elsewhere.
 */

import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationProgress } from "./configuration_progress.ts";
import type { TransferredConfiguration } from "./configuration_transfer.ts";
import type { VersionNotice } from "./peer_versions.ts";
import { listReadingWarnings } from "./read_configuration_document.ts";
import { describeRefusedVersion, REFUSAL_SOURCES } from "./refused_version.ts";
import type { RefusedCopy } from "./refused_version.ts";

/** A version as one peer has it. */
export type PeerCopy = Pick<VersionNotice, "incarnation" | "version">;

/** Dependencies of the updater. */
export interface ConfigurationUpdaterOptions {
  readonly holder: ConfigurationHolder;
  readonly progress: ConfigurationProgress;
  readonly log: Logger;
  readonly journal: DecisionJournal;
  /** Notifies peers that the local version has changed. */
  readonly announce: () => void;
}

/** Number of peers whose copies of a version are tried before it is not fetched from others. */
const MAX_REJECTED_COPIES = 3;

/** Most warnings of a version that are logged. */
const MAX_LOGGED_WARNINGS = 8;

/** Number of versions whose rejected copies are remembered. */
const MAX_REJECTED_VERSIONS = 64;

/** Activates received configurations and remembers the rejected copies of peers. */
export class ConfigurationUpdater {
  readonly #options: ConfigurationUpdaterOptions;
  /** Peers whose copy was rejected, by version. */
  readonly #rejectedCopies = new Map<number, Set<string>>();

  constructor(options: ConfigurationUpdaterOptions) {
    this.#options = options;
  }

  /** Whether a version is newer than the active one. */
  isNewer(version: number): boolean {
    return version > this.#options.holder.version;
  }

  /** Whether a peer's version is newer than the active one and its copy has not been rejected. */
  isCandidate({ incarnation, version }: PeerCopy): boolean {
    const rejecting = this.#rejectedCopies.get(version);
    const isRejected = rejecting !== undefined &&
      (rejecting.has(incarnation) || rejecting.size >= MAX_REJECTED_COPIES);
    return this.isNewer(version) && !isRejected;
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
      this.#reportWarnings(received, source);
      announce();
    }
    return isNew;
  }

  /**
   * Reports that an object of the store is invalid; its version is 0 if it cannot be
   * told. The caller skips it by its revision.
   */
  rejectStored(
    stored: Pick<RefusedCopy, "version" | "revision">,
    error: Error,
  ): void {
    const copy = { ...stored, source: REFUSAL_SOURCES.store, peer: "" };
    this.#options.progress.recordRefusal(describeRefusedVersion(copy, error));
  }

  /** Rejects the invalid copy of a peer, so that it is not fetched again. */
  rejectCopy({ incarnation, version }: PeerCopy, error: Error): void {
    this.#options.progress.recordRefusal(
      describeRefusedVersion({
        ...{ version, revision: 0, peer: incarnation },
        source: REFUSAL_SOURCES.peer,
      }, error),
    );
    const rejecting = this.#rejectedCopies.get(version) ?? new Set();
    this.#rejectedCopies.set(version, rejecting.add(incarnation));
    for (const known of this.#rejectedCopies.keys()) {
      const isFull = this.#rejectedCopies.size > MAX_REJECTED_VERSIONS;
      if (!this.isNewer(known) || isFull) {
        this.#rejectedCopies.delete(known);
      }
    }
  }

  /** Logs, once per version, what a writer would have refused and what was adjusted. */
  #reportWarnings(received: TransferredConfiguration, source: string): void {
    const { configuration, version, warnings = [] } = received;
    const all = [...warnings, ...listReadingWarnings(configuration)];
    if (all.length > 0) {
      this.#options.log.warn(
        {
          ...{ version, source, count: all.length },
          warnings: all.slice(0, MAX_LOGGED_WARNINGS).join("; "),
        },
        "configuration-adjusted",
      );
    }
  }
}
