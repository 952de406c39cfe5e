/**
 * Relay of the datagrams between daemons, which loses, delays, duplicates and
 * reorders them.
 */

import type { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import type { RandomSource } from "../time/mod.ts";
import { decodeDatagram, encodeDatagram } from "./relayed_datagram.ts";
import type { DatagramEndpoint } from "./relayed_datagram.ts";

/** What happens to the datagrams from some daemons to others. */
export interface DatagramFault {
  /** Whether the fault applies to datagrams between these addresses. */
  readonly affects: (from: string, to: string) => boolean;
  readonly lossRatio?: number;
  readonly duplicateRatio?: number;
  /** Longest delay; each datagram gets a random part of it, so that later ones overtake it. */
  readonly maxDelayMs?: number;
}

/** UDP socket that passes datagrams on between daemons. */
export class DatagramRelay {
  /** Number of datagrams received and of those lost. */
  readonly counts = { received: 0, lost: 0 };
  readonly #random: RandomSource;
  readonly #faults = new Set<DatagramFault>();
  readonly #socket = createSocket("udp4");
  #isOpen = false;

  constructor(random: RandomSource) {
    this.#random = random;
    this.#socket.on("message", (bytes, source) => this.#pass(bytes, source));
    // A daemon that is down makes the kernel report an error; its datagrams are lost.
    this.#socket.on("error", () => this.counts.lost += 1);
  }

  /** Binds the socket. */
  open({ address, port }: DatagramEndpoint): Promise<void> {
    return new Promise((resolve) =>
      this.#socket.bind(port, address, () => {
        this.#isOpen = true;
        resolve();
      })
    );
  }

  /** Applies a fault until the returned function is called. */
  impair(fault: DatagramFault): () => void {
    this.#faults.add(fault);
    return () => void this.#faults.delete(fault);
  }

  /** Closes the socket. */
  close(): void {
    this.#isOpen = false;
    this.#socket.close();
  }

  #pass(bytes: Buffer, source: DatagramEndpoint): void {
    this.counts.received += 1;
    const { endpoint, payload } = decodeDatagram(bytes);
    const faults = [...this.#faults].filter(({ affects }) =>
      affects(source.address, endpoint.address)
    );
    const isDrawn = (ratio = 0) => this.#random.nextFloat() < ratio;
    if (faults.some(({ lossRatio }) => isDrawn(lossRatio))) {
      this.counts.lost += 1;
      return;
    }
    const isDuplicated = faults.some(({ duplicateRatio }) =>
      isDrawn(duplicateRatio)
    );
    const maxDelayMs = Math.max(
      0,
      ...faults.map((fault) => fault.maxDelayMs ?? 0),
    );
    const relayed = encodeDatagram(source, payload);
    for (let copy = 0; copy < (isDuplicated ? 2 : 1); copy += 1) {
      this.#send(relayed, endpoint, this.#random.nextFloat() * maxDelayMs);
    }
  }

  #send(
    bytes: Buffer,
    { address, port }: DatagramEndpoint,
    delayMs: number,
  ): void {
    const send = () =>
      this.#isOpen && this.#socket.send(bytes, port, address, () => undefined);
    if (delayMs === 0) {
      send();
    } else {
      setTimeout(send, delayMs).unref();
    }
  }
}
