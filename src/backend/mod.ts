/**
 * The backend server on this VM: its announcements, and calls to it.
 */

export { BackendClient } from "./backend_client.ts";
export type {
  BackendCall,
  BackendCallOptions,
  ConnectionBreak,
} from "./backend_client.ts";
export { BackendConnectionPool } from "./backend_connection_pool.ts";
export type {
  BackendExchange,
  BackendResponse,
  ExchangeFailure,
  ResponseHead,
} from "./backend_connection_pool.ts";
export { BACKEND_STATES, BackendRegistry } from "./backend_registry.ts";
export type { BackendState } from "./backend_registry.ts";
export { DepartureArchive } from "./departure_archive.ts";
export type { Departure } from "./departure_list.ts";
export { formatDeparture, parseDeparture } from "./format_departure.ts";
export { formatServerId } from "./format_server_id.ts";
export { NO_STATEMENT } from "./server_statement.ts";
export type { StatedLoad } from "./server_statement.ts";
export type { ServerStatement } from "./server_statement.ts";
export { isAttributable } from "./is_attributable.ts";
export { RecentIds } from "./recent_ids.ts";
export { probePort } from "./probe_port.ts";
export type { PortState } from "./probe_port.ts";
export { readServerStatement } from "./read_server_statement.ts";
export { HttpBackendClient } from "./http_backend_client.ts";
