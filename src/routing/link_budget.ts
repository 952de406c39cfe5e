/**
 * This daemon's share of the link between regions, in bytes by class.
 *
 * Large answers may cross only while the budget is well filled, other calls
 * while it is not used up, and small calls of the most important class always.
 * What crosses is charged when it begins, by the usual size of the service's
 * bodies, and corrected when it has ended.
 */

import type { Clock } from "../time/mod.ts";

/** Time for which an unused budget is saved up, in milliseconds. */
const BURST_MS = 250;

/** Smallest budget that is saved up, in bytes. */
const MIN_BURST_BYTES = 16_384;

/** Share of the burst that is kept for calls that are not bulk. */
const RESERVED_RATIO = 0.25;

/** Largest call that always crosses when its class is the most important, in bytes. */
const SMALL_BYTES = 16_384;

/** Size assumed for a body of a service not yet seen, in bytes. */
const UNKNOWN_BODY_BYTES = 4_096;

/** Weight of a body in the usual size. */
const SIZE_WEIGHT = 0.2;

/** Services whose usual size is remembered. */
const MAX_SERVICES = 256;

/** What bodies of the same usual size have in common. */
export interface CrossingBody {
  readonly service: string;
  readonly isBulk: boolean;
}

/** What the budget is told about a call. */
export interface CrossingCall extends CrossingBody {
  readonly classRank: number;
}

/** Bytes that this daemon may send and receive across regions. */
export class LinkBudget {
  readonly #clock: Clock;
  readonly #usualBytes = new Map<string, number>();
  #bytesPerSecond = 0;
  #tokens = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.monotonicMs();
  }

  /** Bytes that may cross now; negative after more has crossed than was planned. */
  get tokens(): number {
    this.#refresh();
    return this.#tokens;
  }

  /** Sets this daemon's share of the link. */
  setRate(bytesPerSecond: number): void {
    this.#refresh();
    const isFirst = this.#bytesPerSecond === 0;
    this.#bytesPerSecond = bytesPerSecond;
    this.#tokens = isFirst ? this.#burstBytes : this.#tokens;
  }

  /** Whether a call may cross now. */
  mayCross(call: CrossingCall): boolean {
    const usualBytes = this.#readUsualBytes(call);
    if (call.isBulk) {
      return this.tokens >= this.#neededForBulk(usualBytes);
    }
    const isImportant = call.classRank === 0 && usualBytes <= SMALL_BYTES;
    return isImportant || this.tokens > 0;
  }

  /** Time until a call may cross, in milliseconds. */
  estimateDelayMs(call: CrossingCall): number {
    const usualBytes = this.#readUsualBytes(call);
    const needed = call.isBulk ? this.#neededForBulk(usualBytes) : 1;
    const missing = Math.max(0, needed - this.tokens);
    return this.#bytesPerSecond === 0
      ? BURST_MS
      : Math.ceil(missing / this.#bytesPerSecond * 1_000);
  }

  /** Charges a call that begins to cross; gives the bytes that were charged. */
  begin(body: CrossingBody): number {
    const charged = this.#readUsualBytes(body);
    this.#refresh();
    this.#tokens -= charged;
    return charged;
  }

  /** Corrects the charge of a call that has crossed. */
  end(body: CrossingBody, charge: { charged: number; actual: number }): void {
    this.#refresh();
    this.#tokens += charge.charged - charge.actual;
    const usual = this.#usualBytes.get(createKey(body)) ?? charge.actual;
    if (this.#usualBytes.size >= MAX_SERVICES) {
      this.#usualBytes.clear();
    }
    this.#usualBytes.set(
      createKey(body),
      usual + SIZE_WEIGHT * (charge.actual - usual),
    );
  }

  get #burstBytes(): number {
    return Math.max(MIN_BURST_BYTES, this.#bytesPerSecond * BURST_MS / 1_000);
  }

  #neededForBulk(usualBytes: number): number {
    const reserved = this.#burstBytes * RESERVED_RATIO;
    return Math.min(this.#burstBytes, reserved + usualBytes);
  }

  /** Of bulk not yet seen, one body at a time fits. */
  #readUsualBytes(body: CrossingBody): number {
    const unknownBytes = body.isBulk
      ? this.#burstBytes * (1 - RESERVED_RATIO)
      : UNKNOWN_BODY_BYTES;
    return this.#usualBytes.get(createKey(body)) ?? unknownBytes;
  }

  #refresh(): void {
    const nowMs = this.#clock.monotonicMs();
    const gained = (nowMs - this.#updatedAtMs) * this.#bytesPerSecond / 1_000;
    this.#tokens = Math.min(this.#burstBytes, this.#tokens + gained);
    this.#updatedAtMs = nowMs;
  }
}

function createKey({ service, isBulk }: CrossingBody): string {
  return `${service}/${isBulk ? "bulk" : "small"}`;
}
