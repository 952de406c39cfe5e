/**
 * When a daemon reads the store because another one refused a version of it.
 */

import type { Clock, RandomSource } from "../time/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationProgress } from "./configuration_progress.ts";
import type { RefusedVersionNotice } from "./refused_version_notice.ts";

/** Dependencies of the check. */
export interface NoticeCheckOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly holder: ConfigurationHolder;
  readonly progress: ConfigurationProgress;
}

/**
 * Time over which the daemons that hear of a refused version read the store, in
 * milliseconds. With 6,800 daemons that is a sixth of the calls that the store takes.
 */
const CHECK_SPREAD_MS = 20_000;

/** Number of refused versions that are remembered, so that none is read twice. */
const MAX_HEARD_VERSIONS = 64;

/** Schedules one read of the store for each refused version that this daemon hears of and has not read. */
export class NoticeCheck {
  readonly #options: NoticeCheckOptions;
  readonly #heard = new Set<number>();
  #dueMs = Infinity;

  constructor(options: NoticeCheckOptions) {
    this.#options = options;
  }

  /** Whether this daemon heard that another one refused a version. */
  hasHeard(version: number): boolean {
    return this.#heard.has(version);
  }

  /** Schedules a read if the version is not known yet. */
  hear({ version }: RefusedVersionNotice): void {
    const { clock, random } = this.#options;
    if (this.#isSuperseded(version) || this.#heard.has(version)) {
      return;
    }
    this.#heard.add(version);
    const [oldest = version] = this.#heard;
    if (this.#heard.size > MAX_HEARD_VERSIONS) {
      this.#heard.delete(oldest);
    }
    const dueMs = clock.monotonicMs() + random.nextInteger(CHECK_SPREAD_MS);
    this.#dueMs = Math.min(this.#dueMs, dueMs);
  }

  /** Whether the store has to be read now; the read is then no longer scheduled. */
  take(): boolean {
    if (this.#options.clock.monotonicMs() < this.#dueMs) {
      return false;
    }
    this.#dueMs = Infinity;
    return [...this.#heard].some((version) => !this.#isSuperseded(version));
  }

  /**
   * Whether a read cannot give the version any more, as this daemon has it or a later
   * one. Gossip repeats notices for minutes, also of more versions than are remembered.
   */
  #isSuperseded(version: number): boolean {
    const { holder, progress } = this.#options;
    return version <=
      Math.max(holder.version, progress.describe().storeVersion);
  }
}
