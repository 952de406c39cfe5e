/**
 * Memory that one call holds in a process, from the arrival of its request until
 * its response has been passed on.
 */

import type { AcquireOptions, MemoryBudget } from "./memory_budget.ts";

/** Bytes of one call. They are released together when the call ends. */
export class HeldMemory {
  readonly #budget: MemoryBudget;
  readonly #classRank: number | undefined;
  #heldBytes = 0;
  /** Bytes acquired ahead for a response whose size is not known yet. */
  #aheadBytes = 0;
  #isReleased = false;
  readonly #onReleased: (() => void)[] = [];
  #onResponseLength: ((bytes: number) => void) | undefined;

  constructor(budget: MemoryBudget, classRank?: number) {
    this.#budget = budget;
    this.#classRank = classRank;
  }

  /** Budget that the bytes count against. */
  get budget(): MemoryBudget {
    return this.#budget;
  }

  /** Bytes held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes acquired ahead that no body uses yet. */
  get aheadBytes(): number {
    return this.#aheadBytes;
  }

  /** Acquires bytes, first from those acquired ahead. Resolves to whether they were acquired. */
  async reserve(bytes: number, options: AcquireOptions): Promise<boolean> {
    const missingBytes = this.#takeAhead(bytes);
    return missingBytes === 0 || await this.#acquire(missingBytes, options);
  }

  /** Acquires bytes if there is room at once, first from those acquired ahead. */
  tryReserve(bytes: number): boolean {
    const missingBytes = bytes - Math.min(bytes, this.#aheadBytes);
    if (this.#isReleased) {
      return true;
    }
    if (
      missingBytes > 0 &&
      !this.#budget.tryAcquire(missingBytes, this.#classRank)
    ) {
      return false;
    }
    this.#takeAhead(bytes);
    this.#heldBytes += missingBytes;
    return true;
  }

  /** Acquires bytes for a response that is expected. Resolves to whether they were acquired. */
  async reserveAhead(bytes: number, options: AcquireOptions): Promise<boolean> {
    const isAcquired = await this.#acquire(bytes, options);
    this.#aheadBytes += isAcquired ? bytes : 0;
    return isAcquired;
  }

  /** Acquires bytes for a response that is expected, if there is room at once. */
  tryReserveAhead(bytes: number, classRank = this.#classRank): boolean {
    if (this.#isReleased) {
      return true;
    }
    const isAcquired = this.#budget.tryAcquire(bytes, classRank);
    this.#heldBytes += isAcquired ? bytes : 0;
    this.#aheadBytes += isAcquired ? bytes : 0;
    return isAcquired;
  }

  /** Has a function called with the length of the response when its head has arrived, before memory for the body is reserved. */
  observeResponseLength(observe: (bytes: number) => void): void {
    this.#onResponseLength = observe;
  }

  /** States the length of the response, which its head tells. */
  reportResponseLength(bytes: number): void {
    this.#onResponseLength?.(bytes);
  }

  /** Calls a function once all bytes have been released. */
  onReleased(notify: () => void): void {
    if (this.#isReleased) {
      notify();
    } else {
      this.#onReleased.push(notify);
    }
  }

  /** Counts bytes that have been received already. */
  force(bytes: number): void {
    if (!this.#isReleased) {
      this.#heldBytes += bytes;
      this.#budget.force(bytes);
    }
  }

  /** Releases all bytes. What others that share the call still receive for it afterwards is not counted. */
  release(): void {
    const heldBytes = this.#heldBytes;
    this.#isReleased = true;
    this.#onReleased.splice(0).forEach((notify) => notify());
    this.#heldBytes = 0;
    this.#aheadBytes = 0;
    this.#budget.release(heldBytes);
  }

  /** Uses bytes acquired ahead; returns how many are missing. */
  #takeAhead(bytes: number): number {
    const takenBytes = Math.min(bytes, this.#aheadBytes);
    this.#aheadBytes -= takenBytes;
    return bytes - takenBytes;
  }

  async #acquire(bytes: number, options: AcquireOptions): Promise<boolean> {
    if (this.#isReleased) {
      return true;
    }
    const isAcquired = await this.#budget.acquire(bytes, {
      ...this.#classRank !== undefined && { classRank: this.#classRank },
      ...options,
    });
    if (isAcquired && this.#isReleased) {
      this.#budget.release(bytes);
      return true;
    }
    this.#heldBytes += isAcquired ? bytes : 0;
    return isAcquired;
  }
}
