/**
 * Datagram transport over UDP.
 */

import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { DatagramTransport } from "./datagram_transport.ts";
import type { DatagramHandler } from "./datagram_transport.ts";
import { parseGossipAddress } from "./parse_gossip_address.ts";

const MAX_PORT = 65_535;

/** Local address of the socket, and the handler of socket errors. */
export interface UdpTransportOptions {
  readonly address: string;
  readonly port: number;
  readonly reportError: (error: Error) => void;
  /** Repeats attempts to bind the socket until cancelled; one attempt is made if not given. */
  readonly repeatBind?: (
    bind: () => Promise<void>,
    isCancelled: () => boolean,
  ) => Promise<unknown>;
}

/** UDP socket that sends and receives datagrams. */
export class UdpTransport extends DatagramTransport {
  readonly #options: UdpTransportOptions;
  #socket: Socket | undefined;
  #isClosed = false;
  #pendingSends = 0;
  #notifyIdle: () => void = () => undefined;

  constructor(options: UdpTransportOptions) {
    super();
    this.#options = options;
  }

  /** Binds the socket; rejects if the address is unavailable. Resolves without a socket if closed meanwhile. */
  override async open(handler: DatagramHandler): Promise<void> {
    const { repeatBind = (bind) => bind() } = this.#options;
    this.#isClosed = false;
    await repeatBind(() => this.#bind(handler), () => this.#isClosed);
  }

  #bind(handler: DatagramHandler): Promise<void> {
    const { address, port, reportError } = this.#options;
    const socket = createSocket("udp4");
    socket.on(
      "message",
      (bytes, remote) => handler(bytes, `${remote.address}:${remote.port}`),
    );
    return new Promise((resolve, reject) => {
      function handleBindError(error: Error): void {
        socket.close();
        reject(error);
      }
      socket.once("error", handleBindError);
      socket.bind(port, address, () => {
        socket.on("error", reportError);
        socket.off("error", handleBindError);
        if (this.#isClosed) {
          socket.close();
        } else {
          this.#socket = socket;
        }
        resolve();
      });
    });
  }

  /** Sends a datagram; ignores targets without a valid port. */
  override send(bytes: Uint8Array, target: string): void {
    const { address, port } = parseGossipAddress(target);
    if (this.#socket && port > 0 && port <= MAX_PORT) {
      this.#pendingSends += 1;
      // Send errors are ignored: the datagram is treated as lost.
      this.#socket.send(
        bytes,
        port,
        address,
        () => this.#handleSent(),
      );
    }
  }

  /** Closes the socket after all pending datagrams have been sent. */
  override async close(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    this.#isClosed = true;
    if (!socket) {
      return;
    }
    if (this.#pendingSends > 0) {
      await new Promise<void>((resolve) => this.#notifyIdle = resolve);
    }
    await new Promise<void>((resolve) => socket.close(() => resolve()));
  }

  #handleSent(): void {
    this.#pendingSends -= 1;
    if (this.#pendingSends === 0) {
      this.#notifyIdle();
    }
  }
}
