/**
 * Loopback networks that concurrent runs do not share.
 */

import { connect, createServer } from "node:net";

/** Second bytes of loopback addresses that runs may claim. */
const FIRST_NETWORK = 100;
const LAST_NETWORK = 250;

/** Port whose listener marks a network as claimed. */
const CLAIM_PORT = 6999;

/** Port on which a fleet that outlived its claim still listens. */
const CALLER_PORT = 7100;

/**
 * Claims a loopback network (127.N.0.0/16) for the life of this process.
 *
 * @returns The second byte of its addresses
 *
 * @example
 * const fleet = new Fleet(createMorningFleet({ network: await claimNetwork(), ...options }));
 */
export async function claimNetwork(): Promise<number> {
  for (let network = FIRST_NETWORK; network <= LAST_NETWORK; network += 1) {
    const isInUse = await isListening(`127.${network}.0.1`);
    if (!isInUse && await tryToListen(`127.${network}.255.254`)) {
      return network;
    }
  }
  throw new Error("every loopback network is claimed");
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

function tryToListen(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(CLAIM_PORT, address, () => {
      server.unref();
      resolve(true);
    });
  });
}
