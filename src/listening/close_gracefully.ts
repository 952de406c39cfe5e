/**
 * Graceful close of a connection that a server ends.
 *
 * A socket that is closed while received bytes are unread, or to which more
 * bytes arrive later, is reset. A reset discards what the other side has not read
 * yet. So only the sending direction ends at first. What still arrives is read
 * and discarded until the other side ends the connection, which it does once it
 * has read everything.
 */

import type { Socket } from "node:net";

/** Time without input after which the other side is taken to send nothing more, in milliseconds. */
const IDLE_TIMEOUT_MS = 5_000;

/** Longest time for which input is discarded, in milliseconds. */
const MAX_DURATION_MS = 30_000;

const closing = new WeakSet<Socket>();

/**
 * Ends a connection after the bytes that are queued, and closes it when the other
 * side does. Input is discarded from now on. Has no effect on a connection that
 * is being closed already.
 *
 * @param socket - The connection; it must allow to be half open
 * @returns Nothing; the connection closes at the latest some seconds after its
 *   last input
 *
 * @example
 * closeGracefully(socket);
 */
export function closeGracefully(socket: Socket): void {
  if (socket.destroyed || closing.has(socket)) {
    return;
  }
  closing.add(socket);
  let idleTimer: ReturnType<typeof setTimeout> | undefined;
  let endTimer: ReturnType<typeof setTimeout> | undefined;
  const destroy = () => socket.destroy();
  // Without its listener, the parser of an HTTP server gets no further input.
  socket.removeAllListeners("data");
  socket.on("data", () => idleTimer?.refresh());
  socket.once("close", () => {
    clearTimeout(idleTimer);
    clearTimeout(endTimer);
  });
  socket.setTimeout(0);
  socket.end(() => {
    idleTimer = setTimeout(destroy, IDLE_TIMEOUT_MS).unref();
    endTimer = setTimeout(destroy, MAX_DURATION_MS).unref();
  });
  socket.resume();
}

/**
 * Whether a connection is being closed gracefully, so that its input is discarded.
 *
 * @param socket - The connection
 * @returns Whether {@link closeGracefully} was called for it
 *
 * @example
 * server.on("clientError", (error, socket) => isClosing(socket) || respond(error));
 */
export function isClosing(socket: Socket): boolean {
  return closing.has(socket);
}
