/**
 * Datagrams over UDP.
 */

import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { DatagramTransport } from "./datagram_transport.ts";
import type { DatagramHandler } from "./datagram_transport.ts";
import { parseTarget } from "./parse_target.ts";

const MAX_PORT = 65_535;

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
  #sending = 0;
  #notifyIdle: () => void = () => undefined;

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
    const { address, port } = parseTarget(target);
    if (this.#socket && port > 0 && port <= MAX_PORT) {
      this.#sending += 1;
      // A datagram that cannot be sent counts as lost.
      this.#socket.send(
        bytes,
        port,
        address,
        () => this.#noteSent(),
      );
    }
  }

  /** Stops once everything handed over has been sent. */
  override async close(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (!socket) {
      return;
    }
    if (this.#sending > 0) {
      await new Promise<void>((resolve) => this.#notifyIdle = resolve);
    }
    await new Promise<void>((resolve) => socket.close(() => resolve()));
  }

  #noteSent(): void {
    this.#sending -= 1;
    if (this.#sending === 0) {
      this.#notifyIdle();
    }
  }
}
