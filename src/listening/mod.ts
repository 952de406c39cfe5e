/**
 * Error handling of listening sockets.
 */

export { ListeningServer } from "./listening_server.ts";
