/**
 * Probe of a TCP port.
 */

import { connect } from "node:net";

/** Timeout of a probe, in milliseconds; the backend server is on this VM. */
const PROBE_TIMEOUT_MS = 200;

/** Time for which an accepted connection has to stay open, in milliseconds; a proxy accepts it and closes it when it finds no server behind. */
const ACCEPTED_MS = 20;

/** Error codes if nothing listens at the address, or nothing behind a proxy there. */
const REFUSED_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "ECONNRESET",
]);

/** What a connection attempt tells of a port: `refused` also if the connection was closed at once, `unknown` if it was neither accepted nor refused in time. */
export type PortState = "open" | "refused" | "unknown";

/**
 * Connects to a port and closes the connection.
 *
 * @param host - IP address
 * @param port - TCP port
 * @returns State of the port; never rejects
 *
 * @example
 * const isGone = await probePort("10.1.0.8", 8301) === "refused";
 */
export function probePort(host: string, port: number): Promise<PortState> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT_MS });
    const finish = (state: PortState) => {
      resolve(state);
      socket.destroy();
    };
    socket.once(
      "connect",
      () => setTimeout(() => finish("open"), ACCEPTED_MS),
    );
    socket.once("timeout", () => finish("unknown"));
    socket.once("end", () => finish("refused"));
    socket.on(
      "error",
      ({ code = "" }: Error & { code?: string }) =>
        finish(REFUSED_CODES.has(code) ? "refused" : "unknown"),
    );
    // Ends are only noticed while the socket is read.
    socket.resume();
  });
}
