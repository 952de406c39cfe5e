/**
 * Binding and error handling of listening sockets, and the end of their
 * connections.
 */

export { bindWhenFree } from "./bind_when_free.ts";
export type { BindOptions } from "./bind_when_free.ts";
export { closeGracefully, isClosing } from "./close_gracefully.ts";
export { ListeningServer } from "./listening_server.ts";
export { ReaderTracker } from "./reader_tracker.ts";
