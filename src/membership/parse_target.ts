/**
 * Addresses of daemons as text.
 */

/** Where datagrams go to or come from. */
export interface DatagramAddress {
  readonly address: string;
  readonly port: number;
}

/**
 * Parses an address with a port.
 *
 * @param target - Text of the form `address:port`
 * @returns Both parts; the port is not a number if the text has none
 *
 * @example
 * parseTarget("10.0.0.1:7102"); // { address: "10.0.0.1", port: 7102 }
 */
export function parseTarget(target: string): DatagramAddress {
  const separator = target.lastIndexOf(":");
  return {
    address: target.slice(0, separator),
    port: Number(target.slice(separator + 1)),
  };
}
