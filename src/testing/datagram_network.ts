/**
 * In-memory datagram network with delay, loss, duplication and partitions.
 */

import { DatagramTransport } from "../membership/mod.ts";
import type { DatagramHandler } from "../membership/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { PausableClock } from "./pausable_clock.ts";

/** Faults of the network; can be changed at any time. */
export interface NetworkFaults {
  /** Share of datagrams that are lost, 0 to 1. */
  lossRatio: number;
  /** Share of datagrams that are delivered twice, 0 to 1. */
  duplicateRatio: number;
  /** Whether datagrams from one address to another are dropped. */
  isPartitioned: (source: string, target: string) => boolean;
  /** Delay before jitter, in milliseconds; jitter adds up to the same again. */
  delayMs: (source: string, target: string) => number;
  /** Called with each datagram on delivery; returns the bytes to deliver. */
  transform: (bytes: Uint8Array, source: string) => Uint8Array;
}

/** Maximum number of datagrams buffered for a paused receiver; more are dropped. */
const MAX_PENDING_DATAGRAMS = 200;

/** Connects transports by their addresses. */
export class DatagramNetwork {
  readonly faults: NetworkFaults = {
    lossRatio: 0,
    duplicateRatio: 0,
    isPartitioned: () => false,
    delayMs: () => 0.5,
    transform: (bytes) => bytes,
  };
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #receivers = new Map<string, MemoryTransport>();

  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Creates the transport of a process; `address` has the form `address:port`. */
  createTransport(address: string, clock: PausableClock): DatagramTransport {
    return new MemoryTransport(this, address, clock);
  }

  /** Disconnects an address; datagrams to it are dropped. */
  disconnect(address: string): void {
    this.#receivers.delete(address);
  }

  /** Registers a transport as the receiver at its address. */
  attach(transport: MemoryTransport): void {
    this.#receivers.set(transport.address, transport);
  }

  /** Unregisters a transport, unless another one has taken over its address. */
  detach(transport: MemoryTransport): void {
    if (this.#receivers.get(transport.address) === transport) {
      this.#receivers.delete(transport.address);
    }
  }

  /** Sends a datagram, subject to the faults. */
  send(bytes: Uint8Array, source: string, target: string): void {
    const {
      lossRatio,
      duplicateRatio,
      isPartitioned,
      delayMs,
      transform,
    } = this.faults;
    if (isPartitioned(source, target) || this.#random.nextFloat() < lossRatio) {
      return;
    }
    const copies = this.#random.nextFloat() < duplicateRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const latencyMs = delayMs(source, target) *
        (1 + this.#random.nextFloat());
      this.#clock.schedule(
        latencyMs,
        () =>
          this.#receivers.get(target)?.deliver(
            transform(bytes, source),
            source,
          ),
      );
    }
  }
}

/** Transport of one address. */
export class MemoryTransport extends DatagramTransport {
  readonly address: string;
  readonly #network: DatagramNetwork;
  readonly #clock: PausableClock;
  #handler: DatagramHandler | undefined;
  #pendingCount = 0;

  constructor(
    network: DatagramNetwork,
    address: string,
    clock: PausableClock,
  ) {
    super();
    this.#network = network;
    this.address = address;
    this.#clock = clock;
  }

  override open(handler: DatagramHandler): Promise<void> {
    this.#handler = handler;
    this.#network.attach(this);
    return Promise.resolve();
  }

  override send(bytes: Uint8Array, target: string): void {
    this.#network.send(bytes, this.address, target);
  }

  override close(): Promise<void> {
    this.#handler = undefined;
    this.#network.detach(this);
    return Promise.resolve();
  }

  /** Passes a datagram to the handler, or buffers it while the process is paused. */
  deliver(bytes: Uint8Array, source: string): void {
    if (this.#clock.isPaused && this.#pendingCount >= MAX_PENDING_DATAGRAMS) {
      return;
    }
    this.#pendingCount += 1;
    this.#clock.run(() => {
      this.#pendingCount -= 1;
      this.#handler?.(bytes, source);
    });
  }
}
