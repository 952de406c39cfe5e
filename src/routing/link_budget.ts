/**
 * Token bucket in bytes for this daemon's share of the inter-region link.
 *
 * Bulk calls are allowed only while the bucket holds their expected size on top
 * of a reserve or is full, other calls while it is not empty, and small calls of
 * the most important class always.
 * A call is charged the average size of the service's bodies when it starts,
 * and the charge is corrected to the actual size when it ends.
 */

import type { Clock } from "../time/mod.ts";

/** Size of the bucket, as the time that it takes to fill, in milliseconds. */
const BURST_MS = 250;

/** Minimum size of the bucket, in bytes. */
const MIN_BURST_BYTES = 16_384;

/** Share of the bucket that is reserved for calls that are not bulk. */
const RESERVED_RATIO = 0.25;

/** Calls of the most important class up to this size are exempt from the budget, in bytes. */
const MAX_EXEMPT_BYTES = 16_384;

/** Size assumed for the bodies of a call that is not bulk, to a service without samples, in bytes. */
const DEFAULT_BODY_BYTES = 4_096;

/** Weight of a sample in the moving average of the size. */
const SIZE_WEIGHT = 0.2;

/** Maximum number of average sizes to keep. */
const MAX_SERVICES = 256;

/** Kind of transfer; sizes are averaged for each kind. */
export interface TransferKind {
  readonly service: string;
  readonly isBulk: boolean;
}

/** A call that would cross regions. */
export interface CrossRegionCall extends TransferKind {
  readonly classRank: number;
}

/** Limits the bytes that this daemon sends and receives across regions. */
export class LinkBudget {
  readonly #clock: Clock;
  readonly #averageBytes = new Map<string, number>();
  #bytesPerSecond = 0;
  #tokens = 0;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.monotonicMs();
  }

  /** Bytes left in the bucket; negative after more was transferred than estimated. */
  get tokens(): number {
    this.#refill();
    return this.#tokens;
  }

  /** Sets this daemon's share of the link, in bytes per second. */
  setRate(bytesPerSecond: number): void {
    this.#refill();
    const isFirst = this.#bytesPerSecond === 0;
    this.#bytesPerSecond = bytesPerSecond;
    this.#tokens = isFirst ? this.#burstBytes : this.#tokens;
  }

  /** Whether a call may cross regions now. */
  allows(call: CrossRegionCall): boolean {
    const estimatedBytes = this.#estimateBytes(call);
    if (call.isBulk) {
      return this.tokens >= this.#computeBulkThreshold(estimatedBytes);
    }
    const isExempt = call.classRank === 0 && estimatedBytes <= MAX_EXEMPT_BYTES;
    return isExempt || this.tokens > 0;
  }

  /** Time until the bucket allows a call, in milliseconds. */
  estimateDelayMs(call: CrossRegionCall): number {
    const estimatedBytes = this.#estimateBytes(call);
    const needed = call.isBulk ? this.#computeBulkThreshold(estimatedBytes) : 1;
    const missing = Math.max(0, needed - this.tokens);
    return this.#bytesPerSecond === 0
      ? BURST_MS
      : Math.ceil(missing / this.#bytesPerSecond * 1_000);
  }

  /** Charges the estimated size of a call that starts, and returns it in bytes. */
  reserve(kind: TransferKind): number {
    const charged = this.#estimateBytes(kind);
    this.#refill();
    this.#tokens -= charged;
    return charged;
  }

  /** Replaces the estimated charge of a call by its actual size, in bytes. */
  reconcile(
    kind: TransferKind,
    charge: { charged: number; actual: number },
  ): void {
    this.#refill();
    this.#tokens += charge.charged - charge.actual;
    const average = this.#averageBytes.get(createKey(kind)) ?? charge.actual;
    if (this.#averageBytes.size >= MAX_SERVICES) {
      this.#averageBytes.clear();
    }
    this.#averageBytes.set(
      createKey(kind),
      average + SIZE_WEIGHT * (charge.actual - average),
    );
  }

  get #burstBytes(): number {
    return Math.max(MIN_BURST_BYTES, this.#bytesPerSecond * BURST_MS / 1_000);
  }

  #computeBulkThreshold(estimatedBytes: number): number {
    const reserved = this.#burstBytes * RESERVED_RATIO;
    return Math.min(this.#burstBytes, reserved + estimatedBytes);
  }

  /** Without samples a bulk body counts as all that bulk may use, so that such bodies cross one at a time. */
  #estimateBytes(kind: TransferKind): number {
    const defaultBytes = kind.isBulk
      ? this.#burstBytes * (1 - RESERVED_RATIO)
      : DEFAULT_BODY_BYTES;
    return this.#averageBytes.get(createKey(kind)) ?? defaultBytes;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const refilled = (nowMs - this.#updatedAtMs) * this.#bytesPerSecond / 1_000;
    this.#tokens = Math.min(this.#burstBytes, this.#tokens + refilled);
    this.#updatedAtMs = nowMs;
  }
}

function createKey({ service, isBulk }: TransferKind): string {
  return `${service}/${isBulk ? "bulk" : "small"}`;
}
