/**
 * What a link depends on and whom it tells.
 */

import type { Socket } from "node:net";
import type VError from "verror";
import type {
  CallMessage,
  ConfigurationFetchMessage,
  ConfigurationPartMessage,
  HelloMessage,
  ReplyMessage,
} from "../generated/types.ts";
import type { HeartbeatTimer } from "./heartbeat_timer.ts";
import type { Clock } from "../time/mod.ts";

/** Where a peer listens. */
export interface PeerAddress {
  readonly address: string;
  readonly peerPort: number;
  /** Incarnation that is meant; another one at the address is not called. */
  readonly incarnation?: string;
}

/** What a daemon says about itself to its peers. */
export interface PeerIdentity {
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly fleetToken: string;
}

/** Receiver of what a link reads. */
export interface PeerConnectionHandler {
  /** Whether calls wait for the peer or run for it. */
  readonly hasActiveCalls: boolean;
  /** The peer has proved who it is. */
  onHello(hello: HelloMessage): void;
  /** A whole call arrived. */
  onCall(call: CallMessage, body: Uint8Array): void;
  /** A whole reply arrived. */
  onReply(reply: ReplyMessage, body: Uint8Array): void;
  /** The peer no longer waits for a call. */
  onCancel(callId: number): void;
  /** The peer has left a heartbeat unanswered; the link stays open for a while. */
  onSilent(silenceMs: number): void;
  /** The peer asks for a newer configuration, or sends a part of one. */
  onConfiguration?(
    message: ConfigurationFetchMessage | ConfigurationPartMessage,
  ): void;
  /** The link ended, with the error that ended it, if any. */
  onClose(error: VError | undefined): void;
}

/** Opens a socket to a peer. */
export type DialPeer = (address: PeerAddress) => Socket;

/** A silent connection beside which a new one is opened. */
export interface ConnectionReplacement {
  readonly address: string;
  readonly silenceMs: number;
  readonly pendingCalls: number;
}

/** Dependencies and limits of a link. */
export interface PeerConnectionOptions {
  /** Timer that the links of one daemon share; a link has its own without one. */
  readonly heartbeatTimer?: HeartbeatTimer;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  readonly maxBodyBytes: number;
  /** Opens sockets to peers; tests put a link in between. */
  readonly dial?: DialPeer;
  /** Told when a silent connection is replaced. */
  readonly reportReplacement?: (replacement: ConnectionReplacement) => void;
}
