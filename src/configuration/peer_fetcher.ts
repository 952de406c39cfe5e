/**
 * Fetches newer configurations from peers, nearest first.
 */

import { Backoff } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationUpdater } from "./configuration_updater.ts";
import type { ConfigurationPeers } from "./configuration_peers.ts";
import {
  FULL_DOCUMENT,
  readConfigurationTransfer,
} from "./configuration_transfer.ts";
import type { TransferredConfiguration } from "./configuration_transfer.ts";
import type { PeerVersions, VersionNotice } from "./peer_versions.ts";

/** Dependencies of the fetcher. */
export interface PeerFetcherOptions {
  readonly holder: ConfigurationHolder;
  readonly updater: ConfigurationUpdater;
  readonly peers: ConfigurationPeers;
  readonly peerVersions: PeerVersions;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
}

/** Backoff after rounds in which no peer delivered the version it had reported. */
const FETCH_BACKOFF = { firstDelayMs: 100, maxDelayMs: 2_000 } as const;

/** Time without an answer after which the next peer is asked too, in milliseconds. */
const NEXT_PEER_DELAY_MS = 500;

/** Maximum number of peers tried in one round. */
const MAX_PEERS_PER_ROUND = 3;

/** Result of one fetch. */
interface FetchedTransfer {
  /** Whether the peer delivered something, valid or not. */
  readonly hasAnswered: boolean;
  readonly transfer: TransferredConfiguration | undefined;
}

/** Fetches configurations while some peer reports a higher version, one at a time. */
export class PeerFetcher {
  readonly #options: PeerFetcherOptions;
  readonly #backoff: Backoff;
  #isFetching = false;
  #isStopped = false;

  constructor(options: PeerFetcherOptions) {
    this.#options = options;
    this.#backoff = new Backoff(options.random, FETCH_BACKOFF);
  }

  /** Fetches until no peer is known to have a newer version; does nothing if already running. */
  async catchUp(): Promise<void> {
    if (this.#isFetching) {
      return;
    }
    this.#isFetching = true;
    while (!this.#isStopped && this.#listPeersAhead().length > 0) {
      if (await this.#runRound()) {
        this.#backoff.reset();
      } else if (this.#listPeersAhead().length > 0) {
        await this.#options.clock.sleep(this.#backoff.nextDelayMs());
      }
    }
    this.#isFetching = false;
  }

  /** Stops after the round in progress. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Fetches from one peer after the other, and from the next one too while the ones
   * before it have not answered. Returns whether a version was activated.
   */
  async #runRound(): Promise<boolean> {
    const { clock } = this.#options;
    const tried = new Set<string>();
    const fetches = new Set<Promise<boolean>>();
    while (this.#listPeersAhead().length > 0) {
      const peer = tried.size < MAX_PEERS_PER_ROUND
        ? this.#choosePeer(tried)
        : undefined;
      if (peer) {
        tried.add(peer.incarnation);
        const fetch = this.#fetchFrom(peer);
        fetches.add(fetch);
        void fetch.then(() => fetches.delete(fetch));
      } else if (fetches.size === 0) {
        return false;
      }
      const delay = clock.sleep(NEXT_PEER_DELAY_MS).then(() => false);
      if (await Promise.race([...fetches, delay])) {
        return true;
      }
    }
    return true;
  }

  /** Fetches from a peer; an exception ends this fetch only, since the daemon keeps running after one. */
  async #fetchFrom(peer: VersionNotice): Promise<boolean> {
    try {
      return await this.#fetchAndActivate(peer);
    } catch (cause) {
      const { message, stack = "" } = cause as Error;
      this.#options.log.error(
        { error: message, stack, peer: peer.incarnation },
        "configuration-fetch-fault",
      );
      return false;
    }
  }

  async #fetchAndActivate(peer: VersionNotice): Promise<boolean> {
    const { holder, updater } = this.#options;
    const { version } = holder;
    const changes = await this.#fetchTransfer(peer, version);
    // A peer that did not answer is not asked again for the whole document.
    const received =
      changes.hasAnswered && !changes.transfer && version !== FULL_DOCUMENT
        ? await this.#fetchTransfer(peer, FULL_DOCUMENT)
        : changes;
    return received.transfer !== undefined &&
      updater.activate(received.transfer, peer.incarnation);
  }

  async #fetchTransfer(
    peer: VersionNotice,
    knownVersion: number,
  ): Promise<FetchedTransfer> {
    const { holder, updater, log, peers } = this.#options;
    const known = holder.current?.document;
    const bytes = await peers.fetch(peer, knownVersion);
    const received = bytes.andThen((value) =>
      readConfigurationTransfer(value, known)
    );
    if (received.isOk()) {
      return { hasAnswered: true, transfer: received.value };
    }
    const { message, name } = received.error;
    log.warn(
      { error: message, peer: peer.incarnation },
      "configuration-fetch-failed",
    );
    // Patches that do not fit the local document say nothing about the peer's copy.
    if (name === "ConfigurationInvalid" && knownVersion === FULL_DOCUMENT) {
      updater.rejectCopy(peer, received.error);
    }
    return { hasAnswered: bytes.isOk(), transfer: undefined };
  }

  #listPeersAhead(): VersionNotice[] {
    const { updater, peerVersions } = this.#options;
    return peerVersions.list().filter((notice) => updater.isCandidate(notice));
  }

  #choosePeer(tried: ReadonlySet<string>): VersionNotice | undefined {
    const { peers, random } = this.#options;
    const { failureDomain, region } = peers.self;
    const live = new Map(
      peers.listLive().map((member) => [member.incarnation, member]),
    );
    const ahead = this.#listPeersAhead().filter(({ incarnation }) =>
      !tried.has(incarnation)
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
}
