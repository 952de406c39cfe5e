/**
 * Datagrams as the membership sees them.
 */

/** Takes a datagram that arrived; `source` is an address with a port. */
export type DatagramHandler = (bytes: Uint8Array, source: string) => void;

/** Sends and receives datagrams, which may be lost, late, doubled or out of order. */
export abstract class DatagramTransport {
  /** Starts to receive. */
  abstract open(handler: DatagramHandler): Promise<void>;

  /** Sends a datagram to an address with a port. */
  abstract send(bytes: Uint8Array, target: string): void;

  /** Stops. */
  abstract close(): Promise<void>;
}
