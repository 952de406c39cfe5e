/**
 * Interface to one daemon's view of the fleet.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { RefusedVersionNotice } from "../configuration/mod.ts";
import type { RequestNotice } from "../quarantine/mod.ts";

/** Fields that a daemon may change in its own record. */
export type OwnRecordChange = Partial<
  Pick<MemberRecord, "state" | "service" | "slots" | "warmAtMs" | "successor">
>;

/** Configuration version reported as active by a peer. */
export interface PeerConfigurationNotice {
  readonly version: number;
  readonly incarnation: string;
  readonly address: string;
  readonly peerPort: number;
}

/** Called with the configuration version that a peer reports as active. */
export type PeerConfigurationListener = (
  notice: PeerConfigurationNotice,
) => void;

/** Called with the id of a backend server of this VM whose departure an earlier process of this daemon announced. */
export type DepartureListener = (serverId: string) => void;

/** A notice to other daemons: of a request that crashes backend servers, or of a refused configuration version. */
export type FleetNotice = RequestNotice | RefusedVersionNotice;

/** Called with each notice that another daemon sent; the same one may come several times. */
export type NoticeListener = (notice: FleetNotice) => void;

/** Control traffic, in bytes. */
export interface MembershipTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** One daemon's view of the fleet, and its own membership in it. */
export abstract class Membership {
  readonly #configurationListeners = new Set<PeerConfigurationListener>();
  readonly #departureListeners = new Set<DepartureListener>();
  readonly #noticeListeners = new Set<NoticeListener>();

  /** This daemon's own record. */
  abstract get self(): MemberRecord;

  /** Lists the instances of a service that accept new work. */
  abstract listInstances(service: string): readonly MemberRecord[];

  /**
   * Returns the record of an incarnation, or undefined. Dead members are found
   * until their record expires.
   */
  abstract find(incarnation: string): MemberRecord | undefined;

  /** Lists all known records, including those of dead members. */
  abstract listAll(): readonly MemberRecord[];

  /** Changes this daemon's record and propagates it. */
  abstract updateSelf(change: OwnRecordChange): void;

  /** Whether this daemon is a delegate, which represents its failure domain to the others. */
  get isDelegate(): boolean {
    return true;
  }

  /** Announces that the backend server of this VM left, so that a later process of this daemon learns of it. */
  announceDeparture(_serverId: string): void {
    // Without gossip, nobody could tell the later process.
  }

  /** Calls `listener` for each departure that members know of and this process does not. */
  onDeparture(listener: DepartureListener): void {
    this.#departureListeners.add(listener);
  }

  /** Notifies the listeners of a departure. */
  protected notifyDeparture(serverId: string): void {
    this.#departureListeners.forEach((listener) => listener(serverId));
  }

  /** Sends other daemons a notice: all of them, or those of this failure domain if it is of a refused version. */
  announceNotice(_notice: FleetNotice): void {
    // Without gossip, each daemon knows only of what it saw itself.
  }

  /** Calls `listener` for each notice of another daemon. */
  onNotice(listener: NoticeListener): void {
    this.#noticeListeners.add(listener);
  }

  /** Notifies the listeners of a notice. */
  protected notifyNotice(notice: FleetNotice): void {
    this.#noticeListeners.forEach((listener) => listener(notice));
  }

  /** Excludes an instance that refused a call because it is leaving. */
  markLeaving(_incarnation: string): void {
    // Without gossip, the next record of the instance carries the state.
  }

  /** Control traffic since the start, including protocol headers. */
  get traffic(): MembershipTraffic {
    return { sentBytes: 0, receivedBytes: 0 };
  }

  /**
   * Returns the record of an incarnation, querying peers if it is unknown
   * locally. Resolves to undefined if none is found.
   */
  lookUp(incarnation: string): Promise<MemberRecord | undefined> {
    return Promise.resolve(this.find(incarnation));
  }

  /**
   * Calls `listener` with the configuration version of each message from a
   * peer. Returns a function that unsubscribes.
   */
  onPeerConfigurationVersion(listener: PeerConfigurationListener): () => void {
    this.#configurationListeners.add(listener);
    return () => this.#configurationListeners.delete(listener);
  }

  /** Notifies the listeners of a peer's active configuration version. */
  protected notifyConfigurationVersion(notice: PeerConfigurationNotice): void {
    for (const listener of this.#configurationListeners) {
      listener(notice);
    }
  }

  /** Immediately sends a few members a message, whose header carries the configuration version. */
  abstract announceConfigurationVersion(): void;

  /** Joins the fleet. */
  abstract start(): Promise<void>;

  /** Leaves the fleet and propagates this daemon's record as dead. */
  abstract stop(): Promise<void>;
}
