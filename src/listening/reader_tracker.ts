/**
 * Tracks whether the callers of an HTTP server may still be reading responses.
 *
 * A response counts as sent when the system has taken its bytes. Its caller may
 * read them much later, so the end of the process has to wait for it.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import { closeGracefully } from "./close_gracefully.ts";

/** Time for which a small response is expected to be read, in milliseconds. */
const DEFAULT_READ_TIME_MS = 1_000;

/** Interval at which the ends of the connections are awaited, in milliseconds. */
const POLL_MS = 20;

/** Tracks the readers of a server's responses, and closes its connections gracefully where Node.js would close them at once. */
export class ReaderTracker {
  /** Time until which the caller of a connection may read, in monotonic milliseconds. */
  readonly #readsUntilMs = new Map<Socket, number>();

  constructor(server: Server) {
    server.on("connection", (socket: Socket) => {
      this.#readsUntilMs.set(socket, Number.NEGATIVE_INFINITY);
      socket.once("close", () => this.#readsUntilMs.delete(socket));
      // Node.js calls it after the last response of a connection.
      socket.destroySoon = () => closeGracefully(socket);
    });
    // Without a listener, Node.js destroys idle connections.
    server.on("timeout", closeGracefully);
  }

  /** Records for how long from now on the caller of a connection may read its responses, in milliseconds. */
  expect(socket: Socket, durationMs = DEFAULT_READ_TIME_MS): void {
    const knownMs = this.#readsUntilMs.get(socket);
    if (knownMs !== undefined) {
      const untilMs = performance.now() + durationMs;
      this.#readsUntilMs.set(socket, Math.max(knownMs, untilMs));
    }
  }

  /** Waits until no caller can be reading any more, or until a deadline on the monotonic clock. */
  async waitUntilRead(deadlineMs: number): Promise<void> {
    while (performance.now() < deadlineMs && this.#isAnyReading()) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  #isAnyReading(): boolean {
    const nowMs = performance.now();
    for (const untilMs of this.#readsUntilMs.values()) {
      if (untilMs > nowMs) {
        return true;
      }
    }
    return false;
  }
}
