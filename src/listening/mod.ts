/**
 * Binding and error handling of listening sockets.
 */

export { bindWhenFree } from "./bind_when_free.ts";
export type { BindOptions } from "./bind_when_free.ts";
export { ListeningServer } from "./listening_server.ts";
