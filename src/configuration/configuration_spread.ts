/**
 * Spread of accepted configurations to one daemon and on from it.
 *
 * A few daemons of each failure domain watch the object API. Every daemon tells
 * its version along with its gossip; whoever hears of a higher one fetches what
 * it lacks from a peer that has it, nearest first.
 */

import type VError from "verror";
import { Backoff } from "../store/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { chooseWatchers, WATCHERS_PER_DOMAIN } from "./choose_watchers.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationPeers } from "./configuration_peers.ts";
import type {
  ConfigurationReader,
  StoredHead,
} from "./configuration_reader.ts";
import {
  readConfigurationTransfer,
  WHOLE_DOCUMENT,
} from "./configuration_transfer.ts";
import type { TransferredConfiguration } from "./configuration_transfer.ts";
import { isVersionConfirmed } from "./confirmation.ts";
import { PeerVersions } from "./peer_versions.ts";
import type { VersionNotice } from "./peer_versions.ts";

/** Dependencies of the spread. */
export interface ConfigurationSpreadOptions {
  readonly reader: ConfigurationReader;
  readonly holder: ConfigurationHolder;
  readonly peers: ConfigurationPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly journal: DecisionJournal;
}

/** How long one watch waits, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;

/** A watch that ends sooner without a change is answered from the past, in milliseconds. */
const SHORT_WATCH_MS = 1_000;

/** Interval at which a daemon checks whether it is a watcher, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 500;

/** Daemons that start together spread their first call over this time, in milliseconds. */
const MAX_START_DELAY_MS = 250;

/** Pauses after failed store calls. */
const STORE_BACKOFF = { firstDelayMs: 500, maxDelayMs: 15_000 } as const;

/** Pauses after rounds in which no peer gave what it told. */
const FETCH_BACKOFF = { firstDelayMs: 100, maxDelayMs: 2_000 } as const;

/** Peers asked in one round. */
const FETCH_ATTEMPTS = 3;

/** Keeps the holder of one daemon at the highest accepted version it can reach. */
export class ConfigurationSpread {
  readonly #options: ConfigurationSpreadOptions;
  readonly #peerVersions = new PeerVersions();
  readonly #storeBackoff: Backoff;
  readonly #fetchBackoff: Backoff;
  readonly #startedAtMs: number;
  #storeVersion = 0;
  #acceptedVersion = 0;
  #refusedVersion = 0;
  #isConfirmed = false;
  #isWatcher = false;
  #isFetching = false;

  constructor(options: ConfigurationSpreadOptions) {
    this.#options = options;
    this.#storeBackoff = new Backoff(options.random, STORE_BACKOFF);
    this.#fetchBackoff = new Backoff(options.random, FETCH_BACKOFF);
    this.#startedAtMs = options.clock.monotonicMs();
  }

  /** Whether the version in force is known not to be lower than one before the start; stays true. */
  get isConfirmed(): boolean {
    this.#isConfirmed ||= isVersionConfirmed({
      ownVersion: this.#options.holder.version,
      storeVersion: this.#acceptedVersion,
      peerVersions: this.#peerVersions.list().map(({ version }) => version),
      elapsedMs: this.#options.clock.monotonicMs() - this.#startedAtMs,
    });
    return this.#isConfirmed;
  }

  /** Whether this daemon watches the object API for its failure domain. */
  get isWatcher(): boolean {
    return this.#isWatcher;
  }

  /** Reads and watches the object API while it is this daemon's turn, until the signal ends it. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    await clock.sleep(random.nextInteger(MAX_START_DELAY_MS));
    while (!signal.aborted) {
      this.#updateRole();
      const needsStore = this.#acceptedVersion === 0 && !this.isConfirmed;
      if (this.#isWatcher || needsStore) {
        await this.#askStore();
      } else {
        await this.#options.clock.sleep(ROLE_CHECK_INTERVAL_MS);
      }
    }
  }

  /** Takes note of a version that a peer has told. */
  takeNotice(notice: VersionNotice): void {
    this.#peerVersions.record(notice);
    if (this.#isAhead(notice)) {
      void this.#fetchFromPeers();
    }
  }

  #updateRole(): void {
    const { journal, peers } = this.#options;
    const { failureDomain, incarnation } = peers.self;
    const live = peers.listLive();
    this.#peerVersions.retain(
      new Set(live.map((member) => member.incarnation)),
    );
    const domain = live.filter((member) =>
      member.failureDomain === failureDomain
    );
    const watchers = chooseWatchers(
      domain.map((member) => member.incarnation),
      WATCHERS_PER_DOMAIN,
    );
    const isWatcher = watchers.includes(incarnation);
    if (isWatcher !== this.#isWatcher) {
      journal.record(DECISIONS.configurationWatch, {
        isWatcher,
        liveInDomain: domain.length,
      });
    }
    this.#isWatcher = isWatcher;
  }

  async #askStore(): Promise<void> {
    const { clock, log, reader } = this.#options;
    const startedAtMs = clock.monotonicMs();
    const stored = this.#storeVersion === 0
      ? await reader.readHead()
      : await reader.watchHead(this.#storeVersion, WATCH_TIMEOUT_MS);
    if (stored.isErr()) {
      log.warn({ error: stored.error.message }, "store-unavailable");
      await clock.sleep(this.#storeBackoff.nextDelayMs());
      return;
    }
    if (stored.value && await this.#takeHead(stored.value)) {
      this.#storeBackoff.reset();
      return;
    }
    if (clock.monotonicMs() - startedAtMs < SHORT_WATCH_MS) {
      await clock.sleep(this.#storeBackoff.nextDelayMs());
    }
  }

  /** Puts the state of a head in force; false where the store has to be asked again. */
  async #takeHead({ head, storeVersion }: StoredHead): Promise<boolean> {
    const { holder, reader } = this.#options;
    if (head.version > Math.max(holder.version, this.#refusedVersion)) {
      const { current } = holder;
      const state = await reader.readState(
        head,
        current && {
          version: current.version,
          configuration: current.document,
          answers: null,
        },
      );
      if (state.isErr()) {
        return this.#refuse(state.error, head.version, storeVersion);
      }
      const patches = head.changes.filter(({ version }) =>
        version > holder.version
      ).flatMap(({ patch }) => patch === undefined ? [] : [patch]);
      this.#adopt({ ...state.value, patches }, "store");
    }
    this.#storeVersion = Math.max(this.#storeVersion, storeVersion);
    this.#acceptedVersion = Math.max(this.#acceptedVersion, head.version);
    return true;
  }

  /** An invalid configuration is skipped until the next; whatever could not be read is read again. */
  #refuse(error: VError, version: number, storeVersion: number): boolean {
    const { message, name } = error;
    this.#options.log.error(
      { version, error: message },
      "configuration-unusable",
    );
    if (name !== "ConfigurationInvalid") {
      return false;
    }
    this.#noteRefusal(version, message);
    this.#storeVersion = Math.max(this.#storeVersion, storeVersion);
    return true;
  }

  #noteRefusal(version: number, error: string): void {
    this.#options.journal.record(DECISIONS.configurationRefused, {
      version,
      error,
    });
    this.#refusedVersion = Math.max(this.#refusedVersion, version);
  }

  #adopt(received: TransferredConfiguration, source: string): boolean {
    const { holder, journal, log, peers } = this.#options;
    const { configuration, patches, version } = received;
    const previousVersion = holder.version;
    const isNew = holder.offer(configuration, version, patches);
    if (isNew) {
      journal.record(DECISIONS.configurationChange, {
        version,
        previousVersion,
        source,
        patches: patches.length,
      });
      log.info({ version, previousVersion, source }, "configuration-in-force");
      peers.announce();
    }
    return isNew;
  }

  async #fetchFromPeers(): Promise<void> {
    if (this.#isFetching) {
      return;
    }
    this.#isFetching = true;
    const tried = new Set<string>();
    let peer = this.#choosePeer(tried);
    while (peer && tried.size < FETCH_ATTEMPTS) {
      tried.add(peer.incarnation);
      if (await this.#fetchFrom(peer)) {
        tried.clear();
        this.#fetchBackoff.reset();
      }
      peer = this.#choosePeer(tried);
    }
    if (tried.size > 0) {
      await this.#options.clock.sleep(this.#fetchBackoff.nextDelayMs());
    }
    this.#isFetching = false;
  }

  async #fetchFrom(peer: VersionNotice): Promise<boolean> {
    const { holder } = this.#options;
    const known = holder.current;
    const received = await this.#receive(peer, holder.version);
    if (received) {
      return this.#adopt(received, peer.incarnation);
    }
    const whole = known && await this.#receive(peer, WHOLE_DOCUMENT);
    return whole !== undefined && this.#adopt(whole, peer.incarnation);
  }

  async #receive(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<TransferredConfiguration | undefined> {
    const { holder, log, peers } = this.#options;
    const known = holder.current?.document;
    const bytes = await peers.fetch(peer, knownVersion);
    const received = bytes.andThen((value) =>
      readConfigurationTransfer(value, known)
    );
    if (received.isOk()) {
      return received.value;
    }
    const { message, name } = received.error;
    log.warn(
      { error: message, peer: peer.incarnation },
      "configuration-fetch-failed",
    );
    if (name === "ConfigurationInvalid") {
      this.#noteRefusal(peer.version, message);
    }
    return undefined;
  }

  /** The nearest of the peers that have a higher version and have not been tried. */
  #choosePeer(tried: ReadonlySet<string>): VersionNotice | undefined {
    const { peers, random } = this.#options;
    const { failureDomain, region } = peers.self;
    const live = new Map(
      peers.listLive().map((member) => [member.incarnation, member]),
    );
    const ahead = this.#peerVersions.list().filter((notice) =>
      !tried.has(notice.incarnation) && this.#isAhead(notice)
    );
    const inDomain = ahead.filter(({ incarnation }) =>
      live.get(incarnation)?.failureDomain === failureDomain
    );
    const inRegion = ahead.filter(({ incarnation }) =>
      live.get(incarnation)?.region === region
    );
    return random.choose(inDomain) ?? random.choose(inRegion) ??
      random.choose(ahead);
  }

  #isAhead({ version }: VersionNotice): boolean {
    const { holder } = this.#options;
    return version > Math.max(holder.version, this.#refusedVersion);
  }
}
