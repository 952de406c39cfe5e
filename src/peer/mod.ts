/**
 * The protocol between daemons: CBOR messages in length-prefixed frames over TCP.
 */

export { callWithDeadline } from "./call_with_deadline.ts";
export { formatPeerAddress } from "./format_peer_address.ts";
export { HeartbeatTimer } from "./heartbeat_timer.ts";
export { PeerClient } from "./peer_client.ts";
export type {
  CallProgress,
  CallWithoutId,
  PeerCallOptions,
} from "./outbound_connection.ts";
export type {
  ConnectionReplacement,
  DialPeer,
  PeerAddress,
  PeerConnectionOptions,
  PeerIdentity,
} from "./peer_connection_handler.ts";
export { PeerServices } from "./peer_services.ts";
export type { PeerServiceHandler } from "./peer_services.ts";
export { PeerServer } from "./peer_server.ts";
export type {
  ArrivedCall,
  CallHandler,
  IncomingCallOptions,
  PeerServerOptions,
} from "./peer_server.ts";
export { createIdentityProof, verifyIdentityProof } from "./identity_proof.ts";
export { fetchConfiguration } from "./fetch_configuration.ts";
