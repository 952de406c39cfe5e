/**
 * Sending and receiving of gossip messages. Adds the common header to every
 * outgoing message, and drops incoming messages that are invalid or not authentic,
 * that are addressed to another daemon, or that are older than the replay window.
 */

import type { GossipMessage } from "../generated/types.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";
import type { DatagramTransport } from "./datagram_transport.ts";
import { GossipCodec } from "./gossip_codec.ts";

/** A message without the header fields that the link adds. */
export type GossipBody = Omit<
  GossipMessage,
  | "sender"
  | "failureDomain"
  | "sentAtMs"
  | "recipient"
  | "configurationVersion"
  | "digest"
>;

/** Header fields of every message that describe the sender. */
export interface GossipHeader {
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
  /** Address of this daemon, of the form `address:port`. */
  readonly ownAddress: string;
  readonly createHeader: () => GossipHeader;
  /** Counts the bytes of a message sent to a target of the form `address:port`, if given. */
  readonly recordSent?: (
    kind: GossipMessage["kind"],
    target: string,
    bytes: number,
  ) => void;
  readonly handle: (message: GossipMessage, source: string) => void;
}

/** Traffic counters since the start of a link. Byte counts include IP and UDP headers. */
export interface GossipTraffic {
  sentBytes: number;
  receivedBytes: number;
  sentDatagrams: number;
  receivedDatagrams: number;
  droppedDatagrams: number;
}

/** A datagram older than its sender's latest by more than this is dropped, in milliseconds. */
const REPLAY_WINDOW_MS = 5_000;

/** Maximum number of senders whose latest send time is tracked. */
const MAX_REMEMBERED_SENDERS = 4_096;

/** Minimum time between two log entries about dropped datagrams, in milliseconds. */
const DROP_LOG_INTERVAL_MS = 10_000;

/** Size of the IPv4 and UDP headers, in bytes. */
const IP_UDP_HEADER_BYTES = 28;

/** Sends and receives the gossip messages of one daemon. */
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
  readonly #latestSentAtMs = new Map<string, number>();
  #nextDropLogAtMs = 0;
  #reportedOmittedCount = 0;
  #nextOmittedLogAtMs = 0;

  constructor(options: GossipLinkOptions) {
    this.#options = options;
    this.#codec = new GossipCodec(options.fleetToken);
  }

  /** Starts receiving; rejects if the transport cannot be opened. */
  async open(): Promise<void> {
    await this.#options.transport.open((bytes, source) =>
      this.#receive(bytes, source)
    );
  }

  /** Closes the transport. */
  async close(): Promise<void> {
    await this.#options.transport.close();
  }

  /** Sends a message to a target of the form `address:port`. */
  send(target: string, content: GossipBody): void {
    const { clock, createHeader, transport } = this.#options;
    const bytes = this.#codec.encode({
      ...content,
      ...createHeader(),
      sentAtMs: Math.round(clock.nowMs()),
      recipient: target,
    });
    this.traffic.sentBytes += bytes.length + IP_UDP_HEADER_BYTES;
    this.traffic.sentDatagrams += 1;
    this.#options.recordSent?.(
      content.kind,
      target,
      bytes.length + IP_UDP_HEADER_BYTES,
    );
    transport.send(bytes, target);
  }

  /** Time at which a member sent its latest message to this daemon, by that member's wall clock; undefined if none is known. */
  getLatestSentAtMs(incarnation: string): number | undefined {
    return this.#latestSentAtMs.get(incarnation);
  }

  #receive(bytes: Uint8Array, source: string): void {
    this.traffic.receivedBytes += bytes.length + IP_UDP_HEADER_BYTES;
    this.traffic.receivedDatagrams += 1;
    const message = this.#codec.decode(bytes);
    if (!message || !this.#isAcceptable(message)) {
      this.#reportDrop(bytes.length, source);
      return;
    }
    this.#reportOmitted(message);
    this.#options.handle(message, source);
  }

  #isAcceptable({ recipient, sender, sentAtMs }: GossipMessage): boolean {
    if (recipient !== this.#options.ownAddress) {
      return false;
    }
    const latestSentAtMs = this.#latestSentAtMs.get(sender) ?? 0;
    if (sentAtMs < latestSentAtMs - REPLAY_WINDOW_MS) {
      return false;
    }
    this.#latestSentAtMs.delete(sender);
    this.#latestSentAtMs.set(sender, Math.max(latestSentAtMs, sentAtMs));
    if (this.#latestSentAtMs.size > MAX_REMEMBERED_SENDERS) {
      const [oldest = ""] = this.#latestSentAtMs.keys();
      this.#latestSentAtMs.delete(oldest);
    }
    return true;
  }

  #reportOmitted({ sender }: GossipMessage): void {
    const { clock, log } = this.#options;
    const { omittedRecordCount } = this.#codec;
    const nowMs = clock.monotonicMs();
    if (
      omittedRecordCount === this.#reportedOmittedCount ||
      nowMs < this.#nextOmittedLogAtMs
    ) {
      return;
    }
    this.#reportedOmittedCount = omittedRecordCount;
    this.#nextOmittedLogAtMs = nowMs + DROP_LOG_INTERVAL_MS;
    log.warn({ sender, omittedRecordCount }, "gossip-record-invalid");
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
