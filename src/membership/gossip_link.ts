/**
 * Sending and receiving of gossip messages: what every message carries is
 * added here, and what is not proven, misdirected or old is dropped here.
 */

import type { GossipMessage } from "../generated/types.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { DatagramTransport } from "./datagram_transport.ts";
import { GossipCodec } from "./gossip_codec.ts";

/** A message before the link completes it. */
export type GossipContent = Omit<
  GossipMessage,
  | "sender"
  | "failureDomain"
  | "sentAtMs"
  | "recipient"
  | "configurationVersion"
  | "digest"
>;

/** What the link adds to every message. */
export interface GossipHead {
  readonly sender: string;
  readonly failureDomain: string;
  readonly configurationVersion: number;
  readonly digest: number;
}

/** Dependencies of a link. */
export interface GossipLinkOptions {
  readonly transport: DatagramTransport;
  readonly fleetToken: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Address and port of this daemon. */
  readonly ownAddress: string;
  readonly createHead: () => GossipHead;
  readonly handle: (message: GossipMessage, source: string) => void;
}

/** Bytes and datagrams of a link since its start, with the headers of IP and UDP. */
export interface GossipTraffic {
  sentBytes: number;
  receivedBytes: number;
  sentDatagrams: number;
  receivedDatagrams: number;
  droppedDatagrams: number;
}

/** A datagram this much older than the latest of its sender is dropped, in milliseconds. */
const REPLAY_WINDOW_MS = 5_000;

/** Senders whose latest datagram is remembered. */
const MAX_REMEMBERED_SENDERS = 4_096;

/** Shortest time between two log lines about dropped datagrams, in milliseconds. */
const DROP_LOG_INTERVAL_MS = 10_000;

/** Bytes of the headers of IP and UDP. */
const HEADER_BYTES = 28;

/** The gossip messages of one daemon. */
export class GossipLink {
  readonly traffic: GossipTraffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentDatagrams: 0,
    receivedDatagrams: 0,
    droppedDatagrams: 0,
  };
  readonly #options: GossipLinkOptions;
  readonly #codec: GossipCodec;
  readonly #latestBySender = new Map<string, number>();
  #nextDropLogAtMs = 0;

  constructor(options: GossipLinkOptions) {
    this.#options = options;
    this.#codec = new GossipCodec(options.fleetToken);
  }

  /** Starts to receive. */
  async open(): Promise<void> {
    await this.#options.transport.open((bytes, source) =>
      this.#receive(bytes, source)
    );
  }

  /** Stops. */
  async close(): Promise<void> {
    await this.#options.transport.close();
  }

  /** Sends a message to an address with a port. */
  send(target: string, content: GossipContent): void {
    const { clock, createHead, transport } = this.#options;
    const bytes = this.#codec.encode({
      ...content,
      ...createHead(),
      sentAtMs: Math.round(clock.nowMs()),
      recipient: target,
    });
    this.traffic.sentBytes += bytes.length + HEADER_BYTES;
    this.traffic.sentDatagrams += 1;
    transport.send(bytes, target);
  }

  #receive(bytes: Uint8Array, source: string): void {
    this.traffic.receivedBytes += bytes.length + HEADER_BYTES;
    this.traffic.receivedDatagrams += 1;
    const message = this.#codec.decode(bytes);
    if (!message || !this.#isFresh(message)) {
      this.#reportDrop(bytes.length, source);
      return;
    }
    this.#options.handle(message, source);
  }

  #isFresh({ recipient, sender, sentAtMs }: GossipMessage): boolean {
    if (recipient !== this.#options.ownAddress) {
      return false;
    }
    const latestMs = this.#latestBySender.get(sender) ?? 0;
    if (sentAtMs < latestMs - REPLAY_WINDOW_MS) {
      return false;
    }
    this.#latestBySender.delete(sender);
    this.#latestBySender.set(sender, Math.max(latestMs, sentAtMs));
    if (this.#latestBySender.size > MAX_REMEMBERED_SENDERS) {
      const [oldest = ""] = this.#latestBySender.keys();
      this.#latestBySender.delete(oldest);
    }
    return true;
  }

  #reportDrop(lengthBytes: number, source: string): void {
    const { clock, log } = this.#options;
    this.traffic.droppedDatagrams += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.#nextDropLogAtMs) {
      return;
    }
    this.#nextDropLogAtMs = nowMs + DROP_LOG_INTERVAL_MS;
    log.warn({
      lengthBytes,
      source,
      droppedDatagrams: this.traffic.droppedDatagrams,
    }, "gossip-dropped");
  }
}
