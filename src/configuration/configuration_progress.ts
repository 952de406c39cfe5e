/**
 * How far one daemon has come with the configurations that it knows of: the version
 * that the store has, the active one, and the latest version that was refused.
 *
 * The version of the store counts here also when it was refused, so that a daemon
 * that refuses it can be told from one whose store is quiet.
 */

import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import { MISSING_REASONS } from "./missing_configuration.ts";
import type {
  MissingConfiguration,
  MissingReason,
} from "./missing_configuration.ts";
import { REFUSAL_SOURCES } from "./refused_version.ts";
import type { RefusedVersion } from "./refused_version.ts";

/** Dependencies of the progress. */
export interface ConfigurationProgressOptions {
  readonly holder: ConfigurationHolder;
  readonly clock: Clock;
  readonly log: Logger;
  readonly journal: DecisionJournal;
  /** Reports each refusal once. */
  readonly reportRefusal?: (refused: RefusedVersion) => void;
}

/** A refused version that no newer one has replaced yet. */
export interface StandingRefusal extends RefusedVersion {
  /** Wall-clock time of the refusal. */
  readonly refusedAtMs: number;
  readonly refusedForMs: number;
}

/** The versions that a daemon knows of. */
export interface ConfigurationProgressStatus {
  readonly activeVersion: number;
  /** Wall-clock time at which the active version became active; 0 before the first. */
  readonly activeSinceMs: number;
  /** Latest version read from the store, also if it was refused; 0 before the first. */
  readonly storeVersion: number;
  /** Time for which the active version has been below that of the store; 0 if it is not. */
  readonly behindMs: number;
  readonly refused: StandingRefusal | undefined;
}

/** Interval at which a refused version is logged again, in milliseconds. */
const REMINDER_INTERVAL_MS = 30_000;

/** Tracks the known versions of one daemon, and logs a refused one until it is replaced. */
export class ConfigurationProgress {
  readonly #options: ConfigurationProgressOptions;
  #storeVersion = 0;
  /** Why the latest call to the store gave no configuration. */
  #storeGap: MissingReason = MISSING_REASONS.notRead;
  #activeSinceMs = 0;
  #behindSinceMs: number | undefined;
  #refused: RefusedVersion | undefined;
  #refusedAtMs = 0;
  #refusedSinceMs = 0;
  #loggedAtMs = 0;

  constructor(options: ConfigurationProgressOptions) {
    this.#options = options;
    options.holder.subscribe(({ version }) => {
      this.#activeSinceMs = options.clock.nowMs();
      if (this.#refused && version >= this.#refused.version) {
        this.#endRefusal();
      }
      this.#updateBehind();
    });
  }

  /** Records that the latest call to the store gave no configuration, and why. */
  recordStoreGap(reason: MissingReason): void {
    this.#storeGap = reason;
  }

  /** Records the version that an object of the store states, before it is validated. */
  recordStored(version: number): void {
    this.#storeVersion = version;
    this.#storeGap = MISSING_REASONS.unreadable;
    this.#updateBehind();
  }

  /** Records that the latest object of the store is valid, which ends the refusal of an earlier one. */
  recordAccepted(): void {
    if (this.#refused?.source === REFUSAL_SOURCES.store) {
      this.#endRefusal();
    }
    this.#updateBehind();
  }

  /** Records a refusal, unless the same copy was refused before. */
  recordRefusal(refused: RefusedVersion): void {
    const { clock, holder, journal, reportRefusal } = this.#options;
    if (this.#refused && isSameCopy(refused, this.#refused)) {
      return;
    }
    reportRefusal?.(refused);
    const { peer, ...facts } = refused;
    journal.record(DECISIONS.configurationRefused, {
      ...facts,
      source: peer === "" ? refused.source : peer,
      activeVersion: holder.version,
    });
    if (
      refused.source === REFUSAL_SOURCES.store ||
      refused.version >= (this.#refused?.version ?? 0)
    ) {
      this.#refused = refused;
      this.#refusedAtMs = clock.nowMs();
      this.#refusedSinceMs = clock.monotonicMs();
      this.#loggedAtMs = this.#refusedSinceMs;
    }
    this.#updateBehind();
  }

  /** Logs a refused version again if it is due; called at least every few seconds. */
  remind(): void {
    const { clock, holder, log } = this.#options;
    const nowMs = clock.monotonicMs();
    if (!this.#refused || nowMs - this.#loggedAtMs < REMINDER_INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs = nowMs;
    const { version, reason, entry } = this.#refused;
    log.error({
      ...{ version, reason, entry, activeVersion: holder.version },
      refusedForMs: Math.round(nowMs - this.#refusedSinceMs),
    }, "configuration-still-refused");
  }

  /** Explains why there is no configuration that is known to be the latest. */
  explainMissing(): MissingConfiguration {
    const { version } = this.#options.holder;
    if (version > 0) {
      return { reason: MISSING_REASONS.notConfirmed, version };
    }
    return this.#refused
      ? { reason: MISSING_REASONS.refused, version: this.#refused.version }
      : { reason: this.#storeGap, version: 0 };
  }

  /** Describes the versions known now. */
  describe(): ConfigurationProgressStatus {
    const { clock, holder } = this.#options;
    const nowMs = clock.monotonicMs();
    return {
      activeVersion: holder.version,
      activeSinceMs: this.#activeSinceMs,
      storeVersion: this.#storeVersion,
      behindMs: nowMs - (this.#behindSinceMs ?? nowMs),
      refused: this.#refused && {
        ...this.#refused,
        refusedAtMs: this.#refusedAtMs,
        refusedForMs: nowMs - this.#refusedSinceMs,
      },
    };
  }

  #endRefusal(): void {
    const { clock, holder, log } = this.#options;
    if (this.#refused) {
      const { version, reason } = this.#refused;
      log.info({
        ...{ version, reason, activeVersion: holder.version },
        refusedForMs: Math.round(clock.monotonicMs() - this.#refusedSinceMs),
      }, "configuration-refusal-ended");
    }
    this.#refused = undefined;
  }

  #updateBehind(): void {
    const { clock, holder } = this.#options;
    // An object that states no version cannot be compared with the active one.
    const isBehind = this.#storeVersion > holder.version ||
      this.#refused?.version === 0;
    this.#behindSinceMs = isBehind
      ? this.#behindSinceMs ?? clock.monotonicMs()
      : undefined;
  }
}

function isSameCopy(one: RefusedVersion, other: RefusedVersion): boolean {
  return one.version === other.version && one.peer === other.peer &&
    one.revision === other.revision;
}
