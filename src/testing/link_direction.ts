/**
 * One direction of a link: delivers bytes in order, at a limited rate and after a
 * delay.
 */

/** Delay and bandwidth of a link; by default it has no delay and unlimited bandwidth. */
export interface LinkOptions {
  readonly oneWayDelayMs?: number;
  readonly bitsPerSecond?: number;
}

/** Transmission backlog above which senders have to pause, in milliseconds. */
const MAX_BACKLOG_MS = 100;

const BITS_PER_BYTE = 8;

interface PendingDelivery {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Queue that applies the rate and the delay of a link. */
export class LinkDirection {
  oneWayDelayMs: number;
  bitsPerSecond: number;
  /** Total number of bytes sent, including those in transit. */
  sentBytes = 0;
  readonly #queue: PendingDelivery[] = [];
  #busyUntilMs = 0;
  #isTimerSet = false;

  constructor({ oneWayDelayMs = 0, bitsPerSecond = Infinity }: LinkOptions) {
    this.oneWayDelayMs = oneWayDelayMs;
    this.bitsPerSecond = bitsPerSecond;
  }

  /** Schedules the delivery of bytes; returns whether the sender has to pause. */
  send(bytes: Uint8Array, deliver: () => void): boolean {
    const nowMs = performance.now();
    const transmissionMs = bytes.length * BITS_PER_BYTE * 1_000 /
      this.bitsPerSecond;
    this.sentBytes += bytes.length;
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + transmissionMs;
    const dueMs = this.#busyUntilMs + this.oneWayDelayMs;
    this.#queue.push({ dueMs, deliver });
    this.#deliverDue();
    return this.#busyUntilMs - nowMs > MAX_BACKLOG_MS;
  }

  /** Calls back once the backlog has dropped to half the limit. */
  whenDrained(callback: () => void): void {
    const backlogMs = this.#busyUntilMs - performance.now();
    setTimeout(callback, Math.max(1, backlogMs - MAX_BACKLOG_MS / 2));
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
