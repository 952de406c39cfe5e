/**
 * Form of a datagram between a daemon and the relay: the endpoint of the other
 * daemon, then the payload.
 */

import { Buffer } from "node:buffer";

/** Address and port of a daemon's datagram socket. */
export interface DatagramEndpoint {
  readonly address: string;
  readonly port: number;
}

const ADDRESS_BYTES = 4;
const HEADER_BYTES = 6;

/** Returns an endpoint as `IP:PORT`. */
export function formatEndpoint({ address, port }: DatagramEndpoint): string {
  return `${address}:${port}`;
}

/** Prepends an endpoint to a payload. */
export function encodeDatagram(
  { address, port }: DatagramEndpoint,
  payload: Uint8Array,
): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.set(address.split(".").map(Number));
  header.writeUInt16BE(port, ADDRESS_BYTES);
  return Buffer.concat([header, payload]);
}

/** Separates the endpoint from the payload. */
export function decodeDatagram(
  bytes: Buffer,
): { readonly endpoint: DatagramEndpoint; readonly payload: Buffer } {
  return {
    endpoint: {
      address: bytes.subarray(0, ADDRESS_BYTES).join("."),
      port: bytes.readUInt16BE(ADDRESS_BYTES),
    },
    payload: bytes.subarray(HEADER_BYTES),
  };
}
