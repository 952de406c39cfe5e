/**
 * A network of datagrams in memory, with delay, loss, partitions and pauses.
 */

import { DatagramTransport } from "../membership/mod.ts";
import type { DatagramHandler } from "../membership/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { PausableClock } from "./pausable_clock.ts";

/** Faults of the network; may be changed at any time. */
export interface NetworkFaults {
  /** Share of datagrams that are lost, 0 to 1. */
  lossRatio: number;
  /** Share of datagrams that arrive twice, 0 to 1. */
  doubleRatio: number;
  /** Whether datagrams between two addresses are dropped. */
  isCut: (source: string, target: string) => boolean;
  /** Time on the way, in milliseconds, before jitter. */
  delayMs: (source: string, target: string) => number;
  /** Called with each datagram that is sent; may change it. */
  transform: (bytes: Uint8Array, source: string) => Uint8Array;
}

/** Datagrams that a paused or slow receiver can have waiting. */
const MAX_WAITING = 200;

/** Joins transports by their addresses. */
export class DatagramNetwork {
  readonly faults: NetworkFaults = {
    lossRatio: 0,
    doubleRatio: 0,
    isCut: () => false,
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

  /** Creates the transport of a process at an address with a port. */
  createTransport(address: string, clock: PausableClock): DatagramTransport {
    return new MemoryTransport(this, address, clock);
  }

  /** Takes an address off the network. */
  disconnect(address: string): void {
    this.#receivers.delete(address);
  }

  /** Lets a transport receive. */
  attach(transport: MemoryTransport): void {
    this.#receivers.set(transport.address, transport);
  }

  /** Ends what a transport receives. */
  detach(transport: MemoryTransport): void {
    if (this.#receivers.get(transport.address) === transport) {
      this.#receivers.delete(transport.address);
    }
  }

  /** Carries a datagram. */
  carry(bytes: Uint8Array, source: string, target: string): void {
    const { lossRatio, doubleRatio, isCut, delayMs, transform } = this.faults;
    if (isCut(source, target) || this.#random.nextFloat() < lossRatio) {
      return;
    }
    const copies = this.#random.nextFloat() < doubleRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const waitMs = delayMs(source, target) * (1 + this.#random.nextFloat());
      this.#clock.schedule(
        waitMs,
        () =>
          this.#receivers.get(target)?.deliver(
            transform(bytes, source),
            source,
          ),
      );
    }
  }
}

/** One address of a network. */
export class MemoryTransport extends DatagramTransport {
  readonly address: string;
  readonly #network: DatagramNetwork;
  readonly #clock: PausableClock;
  #handler: DatagramHandler | undefined;
  #waiting = 0;

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
    this.#network.carry(bytes, this.address, target);
  }

  override close(): Promise<void> {
    this.#handler = undefined;
    this.#network.detach(this);
    return Promise.resolve();
  }

  /** Hands over a datagram, or keeps it until the end of a pause. */
  deliver(bytes: Uint8Array, source: string): void {
    if (this.#clock.isPaused && this.#waiting >= MAX_WAITING) {
      return;
    }
    this.#waiting += 1;
    this.#clock.run(() => {
      this.#waiting -= 1;
      this.#handler?.(bytes, source);
    });
  }
}
