/**
 * Reserves loopback networks, so that concurrent test runs don't use the same addresses.
 */

import { connect, createServer } from "node:net";

/** Range of the second byte of the loopback addresses that can be claimed. */
const FIRST_NETWORK = 100;
const LAST_NETWORK = 250;

/** Port on which the claiming process listens; a network with a listener is taken. */
const CLAIM_PORT = 6999;

/** Caller port of the daemons; a fleet may still listen on it after its claim has ended. */
const CALLER_PORT = 7100;

/**
 * Claims a loopback network (127.N.0.0/16) for the lifetime of this process.
 *
 * Throws if every network in the range is in use.
 *
 * @returns N, the second byte of the addresses
 *
 * @example
 * const address = `127.${await claimNetwork()}.0.1`;
 */
export async function claimNetwork(): Promise<number> {
  for (let network = FIRST_NETWORK; network <= LAST_NETWORK; network += 1) {
    const isInUse = await isListening(`127.${network}.0.1`);
    if (!isInUse && await tryListen(`127.${network}.255.254`)) {
      return network;
    }
  }
  throw new Error("all loopback networks in the test range are in use");
}

function isListening(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(CALLER_PORT, address);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => resolve(false));
  });
}

function tryListen(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(CLAIM_PORT, address, () => {
      server.unref();
      resolve(true);
    });
  });
}
