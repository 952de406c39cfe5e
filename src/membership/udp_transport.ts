/**
 * Datagrams over UDP.
 */

import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { DatagramTransport } from "./datagram_transport.ts";
import type { DatagramHandler } from "./datagram_transport.ts";

/** Where a transport listens, and whom it tells of errors. */
export interface UdpTransportOptions {
  readonly address: string;
  readonly port: number;
  readonly reportError: (error: Error) => void;
}

/** One UDP socket. */
export class UdpTransport extends DatagramTransport {
  readonly #options: UdpTransportOptions;
  #socket: Socket | undefined;

  constructor(options: UdpTransportOptions) {
    super();
    this.#options = options;
  }

  override open(handler: DatagramHandler): Promise<void> {
    const { address, port, reportError } = this.#options;
    const socket = createSocket("udp4");
    this.#socket = socket;
    socket.on(
      "message",
      (bytes, remote) => handler(bytes, `${remote.address}:${remote.port}`),
    );
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, address, () => {
        socket.off("error", reject);
        socket.on("error", reportError);
        resolve();
      });
    });
  }

  override send(bytes: Uint8Array, target: string): void {
    const separator = target.lastIndexOf(":");
    const port = Number(target.slice(separator + 1));
    if (port > 0 && port <= 65_535) {
      this.#socket?.send(bytes, port, target.slice(0, separator), () => {
        // A datagram that cannot be sent counts as lost.
      });
    }
  }

  override close(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    return new Promise((resolve) =>
      socket ? socket.close(() => resolve()) : resolve()
    );
  }
}
