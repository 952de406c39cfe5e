/**
 * One daemon's part in the distribution of accepted configurations.
 *
 * A few daemons of each failure domain watch the object API; the others check it
 * in turns, in case it refuses just the watchers. Every daemon includes its version in its gossip; a daemon that learns of a higher version
 * fetches the missing changes from a peer that has it, nearest first.
 */

import { DEFAULT_CONTACT_MS } from "../store/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { chooseStoreChecker } from "./choose_store_checker.ts";
import {
  chooseWatchersWithSuccessors,
  countWatchersPerDomain,
  WATCHERS_PER_DOMAIN,
} from "./choose_watchers.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationUpdater } from "./configuration_updater.ts";
import { ConfigurationCopy } from "./configuration_copy.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import type { ConfigurationPeers } from "./configuration_peers.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import { HeadActivator } from "./head_activator.ts";
import { isVersionConfirmed } from "./is_version_confirmed.ts";
import { NoticeCheck } from "./notice_check.ts";
import { PeerFetcher } from "./peer_fetcher.ts";
import { PeerVersions } from "./peer_versions.ts";
import type { VersionNotice } from "./peer_versions.ts";
import { REFUSAL_SOURCES } from "./refused_version.ts";
import type { RefusedVersion } from "./refused_version.ts";
import type { RefusedVersionNotice } from "./refused_version_notice.ts";
import { StorePoller } from "./store_poller.ts";
import type { StorePosition } from "./store_poller.ts";

/** Dependencies of the distributor. */
export interface ConfigurationDistributorOptions {
  readonly source: ConfigurationSource;
  /** Store that holds a copy of the active configuration after a refusal; none is made if not given. */
  readonly copyStore?: ObjectStore;
  readonly holder: ConfigurationHolder;
  readonly peers: ConfigurationPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly journal: DecisionJournal;
  /** Number of watchers in each failure domain; all daemons watch in the baseline. */
  readonly watchersPerDomain?: number;
  /** Timeout of one watch, in milliseconds. */
  readonly watchTimeoutMs?: number;
  /** Length of the turns in which members that do not watch check the store, in milliseconds. */
  readonly checkTurnMs?: number;
  /** Reports each start and end of a store call. */
  readonly reportPosition?: (position: StorePosition) => void;
  /** Reports each refusal of a configuration. */
  readonly reportRefusal?: (refused: RefusedVersion) => void;
}

/** Interval at which a daemon checks whether it is a watcher, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 500;

/** The same while a started daemon has no confirmed configuration, in milliseconds. */
const START_CHECK_INTERVAL_MS = 100;

/**
 * Maximum random delay before the first store call, in milliseconds. It spreads
 * the calls of daemons that start together.
 */
const MAX_START_DELAY_MS = 250;

/**
 * Time for which a started daemon that knows no other member of its failure
 * domain waits before its first store call, in milliseconds. Until it has joined,
 * every daemon would take itself for a watcher.
 */
const JOIN_WAIT_MS = 1_500;

/** Time for which a started daemon that is no watcher leaves the store to its peers, in milliseconds. */
const PEER_WAIT_MS = 4_000;

/**
 * Time after a new version for which no store check is made, in milliseconds:
 * the watchers read the store then.
 */
const CHECK_PAUSE_MS = 2_500;

/** Keeps the active configuration of one daemon at the highest accepted version it can obtain. */
export class ConfigurationDistributor {
  /** The versions that this daemon knows of, with the refused one. */
  readonly progress: ConfigurationProgress;
  readonly #options: ConfigurationDistributorOptions;
  readonly #peerVersions = new PeerVersions();
  readonly #poller: StorePoller;
  readonly #updater: ConfigurationUpdater;
  readonly #headActivator: HeadActivator;
  readonly #fetcher: PeerFetcher;
  readonly #noticeCheck: NoticeCheck;
  readonly #copy: ConfigurationCopy | undefined;
  readonly #startedAtMs: number;
  #isConfirmed = false;
  #isWatcher = false;
  /** The turn to check the store that this daemon has; undefined while another has it. */
  #checkTurn: number | undefined;
  #lastCheckTurn: number | undefined;
  #lastChangeAtMs = -Infinity;

  constructor(options: ConfigurationDistributorOptions) {
    this.#options = options;
    this.progress = new ConfigurationProgress({
      ...options,
      reportRefusal: (refused) => this.#reportRefusal(refused),
    });
    this.#poller = new StorePoller({ ...options, progress: this.progress });
    this.#updater = new ConfigurationUpdater({
      ...options,
      progress: this.progress,
      announce: () => options.peers.announce(),
    });
    this.#headActivator = new HeadActivator({
      ...options,
      poller: this.#poller,
      progress: this.progress,
      updater: this.#updater,
    });
    this.#fetcher = new PeerFetcher({
      ...options,
      updater: this.#updater,
      peerVersions: this.#peerVersions,
    });
    this.#noticeCheck = new NoticeCheck({
      ...options,
      progress: this.progress,
    });
    const { copyStore: store } = options;
    const components = { updater: this.#updater, progress: this.progress };
    this.#copy = store &&
      new ConfigurationCopy({ ...options, ...components, store });
    this.#startedAtMs = options.clock.monotonicMs();
    options.holder.subscribe(() => {
      this.#lastChangeAtMs = options.clock.monotonicMs();
    });
  }

  /**
   * Whether the active version is confirmed not to be lower than one that was
   * active before the start; stays true once set.
   */
  get isConfirmed(): boolean {
    this.#isConfirmed ||= isVersionConfirmed({
      localVersion: this.#options.holder.version,
      storeVersion: Math.max(
        this.#poller.acceptedVersion,
        this.#copy?.version ?? 0,
      ),
      peerVersions: this.#peerVersions.list().map(({ version }) => version),
      elapsedMs: this.#options.clock.monotonicMs() - this.#startedAtMs,
    });
    return this.#isConfirmed;
  }

  /** Whether this daemon watches the object API for its failure domain. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /**
   * Reads the object API, and watches it while this daemon is a watcher, until
   * the signal is aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, random } = this.#options;
    await clock.sleep(random.nextInteger(MAX_START_DELAY_MS));
    while (!signal.aborted) {
      try {
        await this.#runOnce(signal);
      } catch (cause) {
        // The daemon keeps running after an exception here, so this task must too.
        const { message, stack = "" } = cause as Error;
        log.error({ error: message, stack }, "configuration-task-fault");
        await clock.sleep(ROLE_CHECK_INTERVAL_MS);
      }
    }
    this.#fetcher.stop();
    this.#copy?.stop();
  }

  async #runOnce(signal: AbortSignal): Promise<void> {
    this.#updateRole();
    this.progress.remind();
    if (this.#mustPollStore() || this.#mustCheckStore()) {
      await this.#poller.poll(
        (head) => this.#headActivator.apply(head),
        signal,
      );
      await this.#copy?.loadIfNeeded(this.#peerVersions.list().length > 0);
      return;
    }
    await this.#options.clock.sleep(
      this.isConfirmed ? ROLE_CHECK_INTERVAL_MS : START_CHECK_INTERVAL_MS,
    );
  }

  /** Whether the store must be called now, which a starting daemon leaves to the watchers if it can. */
  #mustPollStore(): boolean {
    const { clock, peers } = this.#options;
    const ageMs = clock.monotonicMs() - this.#startedAtMs;
    const needsStore = this.#poller.acceptedVersion === 0 && !this.isConfirmed;
    if (!this.#isWatcher) {
      return needsStore && ageMs >= PEER_WAIT_MS;
    }
    const { failureDomain, incarnation } = peers.self;
    const hasJoined = peers.listLive().some((member) =>
      member.failureDomain === failureDomain &&
      member.incarnation !== incarnation
    );
    return hasJoined || ageMs >= JOIN_WAIT_MS;
  }

  /** Whether this daemon has to check the store: because of a notice, or because it has a turn, which it begins. */
  #mustCheckStore(): boolean {
    if (this.#noticeCheck.take()) {
      return true;
    }
    const quietMs = this.#options.clock.monotonicMs() - this.#lastChangeAtMs;
    if (
      !this.isConfirmed || this.#checkTurn === this.#lastCheckTurn ||
      quietMs < CHECK_PAUSE_MS
    ) {
      return false;
    }
    this.#lastCheckTurn = this.#checkTurn;
    return this.#checkTurn !== undefined;
  }

  /** Records the version of a peer and starts a fetch if it is newer. */
  handleVersionNotice(notice: VersionNotice): void {
    this.#peerVersions.record(notice);
    if (this.#updater.isCandidate(notice)) {
      void this.#fetcher.catchUp();
    }
  }

  /** Reads the store soon if another daemon refused a version of it that this one has not read. */
  handleRefusalNotice(notice: RefusedVersionNotice): void {
    this.#noticeCheck.hear(notice);
  }

  #reportRefusal(refused: RefusedVersion): void {
    const { holder, peers, reportRefusal } = this.#options;
    reportRefusal?.(refused);
    const { source, version } = refused;
    const isOwnFinding = source === REFUSAL_SOURCES.store &&
      version > holder.version && !this.#noticeCheck.hasHeard(version);
    if (isOwnFinding) {
      peers.announceRefusal(version);
    }
    // Notices name a version; an object that states none can't be announced.
    const isUnnamed = source === REFUSAL_SOURCES.store && version === 0;
    if (isOwnFinding || isUnnamed) {
      void this.#copy?.save(refused);
    }
  }

  #updateRole(): void {
    const { clock, journal, peers } = this.#options;
    const { failureDomain, incarnation } = peers.self;
    const live = peers.listLive();
    this.#peerVersions.retain(
      new Set(live.map((member) => member.incarnation)),
    );
    const domainMembers = live.filter((member) =>
      member.failureDomain === failureDomain
    );
    const domains = [...new Set(live.map((member) => member.failureDomain))];
    const watchers = chooseWatchersWithSuccessors(
      domainMembers,
      countWatchersPerDomain(
        this.#options.watchersPerDomain ?? WATCHERS_PER_DOMAIN,
        domains.length,
      ),
    );
    const isWatcher = watchers.has(incarnation);
    if (isWatcher !== this.#isWatcher) {
      journal.record(DECISIONS.configurationWatch, {
        isWatcher,
        liveInDomain: domainMembers.length,
      });
    }
    this.#isWatcher = isWatcher;
    const { turn, incarnation: checker } = chooseStoreChecker({
      incarnations: domainMembers.map((member) => member.incarnation)
        .filter((each) => !watchers.has(each)),
      domains,
      failureDomain,
      nowMs: clock.nowMs(),
      turnMs: this.#options.checkTurnMs ?? DEFAULT_CONTACT_MS,
    });
    this.#checkTurn = checker === incarnation ? turn : undefined;
  }
}
