/**
 * Probe of a TCP port.
 */

import { connect } from "node:net";

/** Timeout of a probe, in milliseconds; the backend server is on this VM. */
const PROBE_TIMEOUT_MS = 200;

/** Error code if nothing listens at the address. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** What a connection attempt tells of a port: `unknown` if it was neither accepted nor refused in time. */
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
    socket.once("connect", () => finish("open"));
    socket.once("timeout", () => finish("unknown"));
    socket.on(
      "error",
      (error: Error & { code?: string }) =>
        finish(error.code === CONNECTION_REFUSED_CODE ? "refused" : "unknown"),
    );
  });
}
