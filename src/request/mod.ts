/**
 * The request path through a daemon: serving, dispatching and running calls.
 */

export { ActiveCalls } from "./active_calls.ts";
export type { ActiveCall } from "./active_calls.ts";
export type { CallEnvironment } from "./call_environment.ts";
export { FirstResponses } from "./first_responses.ts";
export { handOverKeys } from "./hand_over_keys.ts";
export { identifyCaller } from "./identify_caller.ts";
export type { CallerTarget, IdentifiedCaller } from "./identify_caller.ts";
export { LeavingServers } from "./leaving_servers.ts";
export { recordOutcome } from "./record_outcome.ts";
export { ResponseSizes } from "./response_sizes.ts";
export { PeerClients } from "./peer_clients.ts";
export { serveEntryCall } from "./serve_entry_call.ts";
export type { EntryCall } from "./serve_entry_call.ts";
export { serveRoutedCall } from "./serve_routed_call.ts";
export type { RoutedCall } from "./serve_routed_call.ts";
export { servePeerCall } from "./serve_peer_call.ts";
