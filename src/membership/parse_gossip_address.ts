/**
 * Parsing of daemon addresses.
 */

/** Address and port of a datagram's source or target. */
export interface GossipAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * Parses an address and port.
 *
 * @param text - Text of the form `address:port`
 * @returns Address and port; the port is `NaN` or 0 if the text contains none
 *
 * @example
 * parseGossipAddress("10.0.0.1:7102"); // { address: "10.0.0.1", port: 7102 }
 */
export function parseGossipAddress(text: string): GossipAddress {
  const separator = text.lastIndexOf(":");
  return {
    address: text.slice(0, separator),
    port: Number(text.slice(separator + 1)),
  };
}
