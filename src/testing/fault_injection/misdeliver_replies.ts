/**
 * A defective connection: replies that come late on an old connection are
 * delivered on the next one to the same address, as if replies were matched
 * without regard to their connection.
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { DialPeer } from "../../peer/mod.ts";

/** Whether connections that were opened before hold back what they receive. */
export interface Silence {
  isOn: boolean;
}

/** A socket whose received bytes can be held back and given to its successor. */
class CrossingSocket extends Duplex {
  readonly #inner: Socket;
  readonly #former: CrossingSocket | undefined;
  readonly #silence: Silence | undefined;
  readonly #held: Buffer[] = [];
  #writes = 0;

  constructor(
    inner: Socket,
    options: {
      silence: Silence | undefined;
      former: CrossingSocket | undefined;
    },
  ) {
    super();
    this.#inner = inner;
    this.#silence = options.silence;
    this.#former = options.former;
    inner.on("data", (bytes: Buffer) => this.#receive(bytes));
    inner.on("error", () => undefined);
  }

  setNoDelay(): this {
    return this;
  }

  override _read(): void {
    // Bytes are pushed when they arrive.
  }

  override _write(
    bytes: Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.#inner.write(bytes);
    this.#writes += 1;
    if (this.#writes > 1) {
      this.#former?.takeHeld().forEach((late) => this.push(late));
    }
    callback();
  }

  /** Takes what was held back. */
  takeHeld(): Buffer[] {
    return this.#held.splice(0);
  }

  #receive(bytes: Buffer): void {
    if (this.#silence?.isOn) {
      this.#held.push(bytes);
    } else if (!this.destroyed) {
      this.push(bytes);
    }
  }
}

/**
 * Makes the connections of one daemon defective.
 *
 * @param dial - Opens the real connections
 * @param silence - Holds back what the first connections receive
 * @returns A dial with the defect
 *
 * @example
 * const parts = { wrapDial: (dial) => crossConnections(dial, silence) };
 */
export function misdeliverReplies(dial: DialPeer, silence: Silence): DialPeer {
  const latest = new Map<string, CrossingSocket>();
  return (address) => {
    const former = latest.get(address.address);
    const socket = new CrossingSocket(dial(address), {
      silence: former ? undefined : silence,
      former,
    });
    latest.set(address.address, socket);
    return socket as unknown as Socket;
  };
}
