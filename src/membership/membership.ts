/**
 * What one daemon knows about the others.
 */

import type { MemberRecord } from "../generated/types.ts";

/** Fields of its own record that a daemon changes. */
export type OwnRecordChange = Partial<
  Pick<MemberRecord, "state" | "service" | "slots" | "warmAtMs" | "successor">
>;

/** A peer's word about the configuration that it has in force. */
export interface PeerConfigurationNotice {
  readonly version: number;
  readonly incarnation: string;
  readonly address: string;
  readonly peerPort: number;
}

/** Told of configuration versions that peers have in force. */
export type PeerConfigurationListener = (
  notice: PeerConfigurationNotice,
) => void;

/** Bytes of control messages. */
export interface MembershipTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Knowledge of the fleet. */
export abstract class Membership {
  readonly #configurationListeners = new Set<PeerConfigurationListener>();

  /** The daemon's own record. */
  abstract get self(): MemberRecord;

  /** Instances of a service that take new work. */
  abstract listInstances(service: string): readonly MemberRecord[];

  /** The record of one incarnation, dead ones included while they are remembered. */
  abstract find(incarnation: string): MemberRecord | undefined;

  /** Every record that is known. */
  abstract listAll(): readonly MemberRecord[];

  /** Changes the own record and spreads it. */
  abstract updateSelf(change: OwnRecordChange): void;

  /** Whether this daemon is one of the few of its failure domain that speak for it. */
  get isDelegate(): boolean {
    return true;
  }

  /** Sends no new work to an instance that refused because it is leaving. */
  markLeaving(_incarnation: string): void {
    // Without gossip the next record of the instance tells.
  }

  /** Bytes of control messages since the start, with their headers. */
  get traffic(): MembershipTraffic {
    return { sentBytes: 0, receivedBytes: 0 };
  }

  /** The record of one incarnation; peers are asked where it is not known here. */
  lookUp(incarnation: string): Promise<MemberRecord | undefined> {
    return Promise.resolve(this.find(incarnation));
  }

  /** Calls `listener` for the configuration version of each message from a peer, until the result is called. */
  onPeerConfigurationVersion(listener: PeerConfigurationListener): () => void {
    this.#configurationListeners.add(listener);
    return () => this.#configurationListeners.delete(listener);
  }

  /** Tells the listeners what a peer has in force. */
  protected notifyConfigurationVersion(notice: PeerConfigurationNotice): void {
    for (const listener of this.#configurationListeners) {
      listener(notice);
    }
  }

  /** Tells a few members at once what gossip carries, the configuration version included. */
  abstract announceConfigurationVersion(): void;

  /** Joins the fleet. */
  abstract start(): Promise<void>;

  /** Stops taking part; the own record is spread as dead. */
  abstract stop(): Promise<void>;
}
