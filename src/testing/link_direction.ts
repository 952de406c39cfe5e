/**
 * One direction of a link: bytes are carried in order, at a limited rate, after
 * a delay.
 */

/** Delay and bandwidth of a link; without them it is instant and unlimited. */
export interface LinkOptions {
  readonly oneWayDelayMs?: number;
  readonly bitsPerSecond?: number;
}

/** Transmission backlog at which senders are held back, in milliseconds. */
const CROWDED_MS = 100;

const BITS_PER_BYTE = 8;

interface Delivery {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** A queue with the link's rate and delay. */
export class LinkDirection {
  oneWayDelayMs: number;
  bitsPerSecond: number;
  /** Bytes that were handed to this direction. */
  sentBytes = 0;
  readonly #queue: Delivery[] = [];
  #busyUntilMs = 0;
  #isTimerSet = false;

  constructor({ oneWayDelayMs = 0, bitsPerSecond = Infinity }: LinkOptions) {
    this.oneWayDelayMs = oneWayDelayMs;
    this.bitsPerSecond = bitsPerSecond;
  }

  /** Delivers bytes when their turn has come; true when the sender is to be held back. */
  carry(bytes: Uint8Array, deliver: () => void): boolean {
    const nowMs = performance.now();
    const transmissionMs = bytes.length * BITS_PER_BYTE * 1_000 /
      this.bitsPerSecond;
    this.sentBytes += bytes.length;
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + transmissionMs;
    const dueMs = this.#busyUntilMs + this.oneWayDelayMs;
    this.#queue.push({ dueMs, deliver });
    this.#deliverDue();
    return this.#busyUntilMs - nowMs > CROWDED_MS;
  }

  /** Calls back when the backlog has become short again. */
  whenClear(callback: () => void): void {
    const backlogMs = this.#busyUntilMs - performance.now();
    setTimeout(callback, Math.max(1, backlogMs - CROWDED_MS / 2));
  }

  #deliverDue(): void {
    const nowMs = performance.now();
    while (this.#queue[0] && this.#queue[0].dueMs <= nowMs) {
      this.#queue.shift()?.deliver();
    }
    const next = this.#queue[0];
    if (next && !this.#isTimerSet) {
      this.#isTimerSet = true;
      setTimeout(() => {
        this.#isTimerSet = false;
        this.#deliverDue();
      }, next.dueMs - nowMs);
    }
  }
}
