/**
 * Options of peer connections, and the handler that receives their events.
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
import type { MemoryBudget } from "../memory/mod.ts";
import type { SentBytes } from "../telemetry/mod.ts";
import type { HeartbeatTimer } from "./heartbeat_timer.ts";
import type { Clock } from "../time/mod.ts";

/** Address of a peer. */
export interface PeerAddress {
  readonly address: string;
  readonly peerPort: number;
  /** Expected incarnation; calls are refused if another one answers at the address. */
  readonly incarnation?: string;
}

/** Identity that a daemon presents to its peers. */
export interface PeerIdentity {
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly fleetToken: string;
}

/** Handles the events of a connection. */
export interface PeerConnectionHandler {
  /** Whether calls are pending at the peer or running on its behalf; heartbeats are then more frequent. */
  readonly hasActiveCalls: boolean;
  /** The peer has been authenticated. */
  onHello(hello: HelloMessage): void;
  /**
   * Reserves memory for a body that follows in chunks. Resolves to whether the
   * body is accepted. `isPaced` tells whether its sender waits for that.
   */
  reserveBody(
    head: CallMessage | ReplyMessage,
    options: { readonly isPaced: boolean },
  ): Promise<boolean>;
  /** A call has arrived with its complete body. */
  onCall(call: CallMessage, body: Uint8Array): void;
  /** A reply has arrived with its complete body. */
  onReply(reply: ReplyMessage, body: Uint8Array): void;
  /** The peer has cancelled a call. */
  onCancel(callId: number): void;
  /**
   * The peer has not answered a heartbeat for a short time; called at each
   * interval until it answers. Returns whether the connection is proven not to
   * deliver, because another one to the same process works.
   */
  onDoubt?(): boolean;
  /** The peer has answered after all. */
  onDoubtEnded?(): void;
  /** The peer has not answered a heartbeat for `silenceMs` milliseconds, or the connection is proven not to deliver; the connection stays open until the heartbeat timeout. */
  onSilent(silenceMs: number): void;
  /** The peer requests a newer configuration, or sends a part of one. */
  onConfiguration?(
    message: ConfigurationFetchMessage | ConfigurationPartMessage,
  ): void;
  /** The connection has been closed, by `error` if there was one. */
  onClose(error: VError | undefined): void;
}

/** Opens a socket to a peer; the returned socket may still be connecting. */
export type DialPeer = (address: PeerAddress) => Socket;

/** Report of a silent connection that is being replaced. */
export interface ConnectionReplacement {
  readonly address: string;
  readonly silenceMs: number;
  readonly pendingCalls: number;
  /** Whether another connection to the same process works, so that neither process was paused. */
  readonly isProven: boolean;
}

/** Dependencies and limits of a connection. */
export interface PeerConnectionOptions {
  /** Timer shared by the connections of a daemon; without it, a connection uses its own. */
  readonly heartbeatTimer?: HeartbeatTimer;
  readonly identity: PeerIdentity;
  readonly clock: Clock;
  /** Bound of the bytes held for calls. */
  readonly memory: MemoryBudget;
  /** Counts the bytes sent, if given. */
  readonly sentBytes?: SentBytes;
  /** Opens sockets to peers; tests use it to insert a simulated link. */
  readonly dial?: DialPeer;
  /** Called when a silent connection is replaced. */
  readonly reportReplacement?: (replacement: ConnectionReplacement) => void;
}
