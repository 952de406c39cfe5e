/**
 * Connections between daemons: framed CBOR over TCP.
 */

export { LinkTicker } from "./link_ticker.ts";
export { PeerClient } from "./peer_client.ts";
export type {
  CallTrace,
  PeerCallOptions,
  UnnumberedCall,
} from "./dialed_link.ts";
export type {
  DialPeer,
  LinkReplacement,
  PeerAddress,
  PeerIdentity,
  PeerLinkOptions,
} from "./peer_link_owner.ts";
export { PeerServer } from "./peer_server.ts";
export type { CallHandler, PeerServerOptions } from "./peer_server.ts";
export { isIdentityProven, proveIdentity } from "./prove_identity.ts";
export { fetchConfiguration } from "./fetch_configuration.ts";
