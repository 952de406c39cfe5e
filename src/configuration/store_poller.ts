/**
 * Repeated calls of one daemon to the object API: a first read, then watches.
 *
 * A watch is short, since its timeout is all that shows a connection that stopped
 * delivering. A call that failed by its timeout is followed at once by the next;
 * other failures and watches that end early are followed by a backoff.
 */

import VError from "verror";
import {
  Backoff,
  createStoreTiming,
  DEFAULT_CONTACT_MS,
  FAILURE_REASONS,
  isLaterVersion,
  NO_VERSION,
} from "../store/mod.ts";
import type { StoreVersion } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { ConfigurationProgress } from "./configuration_progress.ts";
import type {
  AcceptedHead,
  ConfigurationSource,
} from "./configuration_source.ts";
import { MISSING_REASONS } from "./missing_configuration.ts";

/** What a daemon has read from the store itself. */
export interface StorePosition {
  /** Latest configuration version; 0 before the first read. */
  readonly version: number;
  /** Its revision in the store; 0 before the first read. */
  readonly revision: number;
  /** Wall-clock time of the start of the call in progress; 0 between calls. */
  readonly watchStartedAtMs: number;
}

/** Dependencies of the poller. */
export interface StorePollerOptions {
  readonly source: ConfigurationSource;
  readonly progress: ConfigurationProgress;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  /** Timeout of one watch, in milliseconds. */
  readonly watchTimeoutMs?: number;
  /** Reports each start and end of a store call. */
  readonly reportPosition?: (position: StorePosition) => void;
}

/**
 * Share of the watch timeout before which a watch without a change ended early: the
 * answer was about other objects or stale.
 */
const MIN_WATCH_RATIO = 0.5;

/** Backoff after calls that failed before their timeout, and while there is no configuration. */
const STORE_BACKOFF = { firstDelayMs: 250, maxDelayMs: 2_000 } as const;

/** Backoff after watches that ended early; short, since a change may come meanwhile. */
const EARLY_WATCH_BACKOFF = { firstDelayMs: 250, maxDelayMs: 500 } as const;

/** Delay after a change in which further changes are coalesced, in milliseconds. */
const COALESCE_DELAY_MS = 200;

/** Reads and watches the store, and remembers the position reached. */
export class StorePoller {
  readonly #options: StorePollerOptions;
  readonly #watchTimeoutMs: number;
  readonly #backoff: Backoff;
  readonly #earlyWatchBackoff: Backoff;
  #storeVersion = NO_VERSION;
  #acceptedVersion = 0;

  constructor(options: StorePollerOptions) {
    this.#options = options;
    this.#watchTimeoutMs = options.watchTimeoutMs ??
      createStoreTiming(DEFAULT_CONTACT_MS).watchTimeoutMs;
    this.#backoff = new Backoff(options.random, STORE_BACKOFF);
    this.#earlyWatchBackoff = new Backoff(options.random, EARLY_WATCH_BACKOFF);
  }

  /** Configuration version read from the store; 0 before the first read. */
  get acceptedVersion(): number {
    return this.#acceptedVersion;
  }

  /** Records that a head was handled; later watches begin after it. */
  record(storeVersion: StoreVersion, version: number): void {
    if (isLaterVersion(storeVersion, this.#storeVersion)) {
      this.#storeVersion = storeVersion;
    }
    this.#acceptedVersion = Math.max(this.#acceptedVersion, version);
  }

  /**
   * Makes one call and waits until the next may follow. `applyHead` handles a head
   * and returns false if it has to be read again. Once `signal` is aborted, the stop
   * of the daemon ends the call, which says nothing about the store.
   */
  async poll(
    applyHead: (head: AcceptedHead) => Promise<boolean>,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock } = this.#options;
    const startedAtMs = clock.monotonicMs();
    const stored = await this.#call();
    const durationMs = clock.monotonicMs() - startedAtMs;
    if (signal.aborted) {
      return;
    }
    if (stored.isErr()) {
      await this.#handleError(stored.error, durationMs);
      return;
    }
    if (!stored.value && this.#storeVersion.revision === 0) {
      this.#options.progress.recordStoreGap(MISSING_REASONS.noneStored);
    }
    if (stored.value && await applyHead(stored.value)) {
      this.#resetBackoffs();
      this.#reportPosition(0);
      await clock.sleep(COALESCE_DELAY_MS);
    } else if (this.#storeVersion.revision === 0) {
      await clock.sleep(this.#backoff.nextDelayMs());
    } else if (durationMs < this.#watchTimeoutMs * MIN_WATCH_RATIO) {
      await clock.sleep(this.#earlyWatchBackoff.nextDelayMs());
    } else {
      this.#resetBackoffs();
    }
  }

  #resetBackoffs(): void {
    this.#backoff.reset();
    this.#earlyWatchBackoff.reset();
  }

  async #call() {
    const { clock, source } = this.#options;
    this.#reportPosition(clock.nowMs());
    const stored = this.#storeVersion.revision === 0
      ? await source.read()
      : await source.watch(this.#storeVersion, this.#watchTimeoutMs);
    this.#reportPosition(0);
    return stored;
  }

  /** Logs the failure, and waits unless the call itself lasted its timeout. */
  async #handleError(error: VError, durationMs: number): Promise<void> {
    const { clock, log, progress } = this.#options;
    progress.recordStoreGap(MISSING_REASONS.storeUnavailable);
    const { reason } = VError.info(error);
    const { revision } = this.#storeVersion;
    const call = revision === 0 ? "read" : "watch";
    log.warn(
      {
        ...{ error: error.message, reason, call, revision },
        durationMs: Math.round(durationMs),
      },
      "store-unavailable",
    );
    if (reason !== FAILURE_REASONS.silent) {
      await clock.sleep(this.#backoff.nextDelayMs());
    }
  }

  #reportPosition(watchStartedAtMs: number): void {
    this.#options.reportPosition?.({
      version: this.#acceptedVersion,
      revision: this.#storeVersion.revision,
      watchStartedAtMs,
    });
  }
}
