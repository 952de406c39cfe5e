/**
 * Datagram transport used by the membership protocols.
 */

/** Handles a received datagram; `source` has the form `address:port`. */
export type DatagramHandler = (bytes: Uint8Array, source: string) => void;

/** Sends and receives datagrams, which may be lost, delayed, duplicated or reordered. */
export abstract class DatagramTransport {
  /** Starts receiving; rejects if the transport cannot be opened. */
  abstract open(handler: DatagramHandler): Promise<void>;

  /** Sends a datagram to a target of the form `address:port`. */
  abstract send(bytes: Uint8Array, target: string): void;

  /** Stops sending and receiving. */
  abstract close(): Promise<void>;
}
