/**
 * Seeded defect: delivers late replies of an old connection on the next connection
 * to the same address, as if replies were matched regardless of their connection.
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { DialPeer } from "../../peer/mod.ts";

/** Switch that makes the first connection to each address hold back the bytes it receives. */
export interface ReplyHold {
  isOn: boolean;
}

/** Socket whose received bytes can be held back and delivered by its successor. */
class MisdeliveringSocket extends Duplex {
  readonly #inner: Socket;
  readonly #predecessor: MisdeliveringSocket | undefined;
  readonly #hold: ReplyHold | undefined;
  readonly #heldChunks: Buffer[] = [];
  #writeCount = 0;

  constructor(
    inner: Socket,
    options: {
      hold: ReplyHold | undefined;
      predecessor: MisdeliveringSocket | undefined;
    },
  ) {
    super();
    this.#inner = inner;
    this.#hold = options.hold;
    this.#predecessor = options.predecessor;
    inner.on("data", (bytes: Buffer) => this.#receive(bytes));
    inner.on("error", () => undefined);
  }

  setNoDelay(): this {
    return this;
  }

  override _read(): void {
    // Bytes are pushed as they arrive.
  }

  override _write(
    bytes: Buffer,
    _encoding: string,
    callback: () => void,
  ): void {
    this.#inner.write(bytes);
    this.#writeCount += 1;
    if (this.#writeCount > 1) {
      this.#predecessor?.takeHeldChunks().forEach((late) => this.push(late));
    }
    callback();
  }

  /** Removes and returns the chunks that were held back. */
  takeHeldChunks(): Buffer[] {
    return this.#heldChunks.splice(0);
  }

  #receive(bytes: Buffer): void {
    if (this.#hold?.isOn) {
      this.#heldChunks.push(bytes);
    } else if (!this.destroyed) {
      this.push(bytes);
    }
  }
}

/**
 * Wraps the dial function of a daemon with the defect.
 *
 * @param dial - Opens the real connections
 * @param hold - While on, the first connection to each address holds back its bytes
 * @returns A dial function with the defect
 *
 * @example
 * const parts = { wrapDial: (dial) => misdeliverReplies(dial, hold) };
 */
export function misdeliverReplies(dial: DialPeer, hold: ReplyHold): DialPeer {
  const latest = new Map<string, MisdeliveringSocket>();
  return (address) => {
    const predecessor = latest.get(address.address);
    const socket = new MisdeliveringSocket(dial(address), {
      hold: predecessor ? undefined : hold,
      predecessor,
    });
    latest.set(address.address, socket);
    return socket as unknown as Socket;
  };
}
