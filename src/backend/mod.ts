/**
 * The backend server on this VM: its announcement and calls to it.
 */

export { BackendClient } from "./backend_client.ts";
export type { BackendCall, BackendCallOptions } from "./backend_client.ts";
export { BACKEND_STATES, BackendRegistry } from "./backend_registry.ts";
export type { BackendState } from "./backend_registry.ts";
