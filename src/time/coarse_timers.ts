/**
 * Timers of calls, nearly all of which are cancelled before they expire.
 *
 * They are kept by the time slot in which they expire, and one timer of the
 * system serves the earliest slot. A timer of the system for each would cost
 * several lists and wake the process for timers that were cancelled long ago.
 *
 * After a pause of the process its timers run before its sockets are read, so
 * that calls would time out whose replies have arrived. Timers that are late
 * therefore wait until the sockets have been read.
 */

/** Length of a slot, in milliseconds: the longest time by which a timer is late. */
const SLOT_MS = 4;

/** Shortest delay that may be late by a slot, in milliseconds: 1.6 % of it. */
export const MIN_COARSE_DELAY_MS = 250;

/** Delay of the earliest timer from which on the sockets are read first, in milliseconds. */
const LATE_MS = 100;

/** Polls in which sockets are read before late timers run; one poll reads a part of what has arrived on a connection. */
const READ_POLLS = 3;

type Slot = Set<() => void>;

/** Schedules callbacks with the precision of a slot. */
export class CoarseTimers {
  readonly #slots = new Map<number, Slot>();
  #timer: ReturnType<typeof setTimeout> | undefined;
  /** Slot that the timer of the system serves. */
  #armedSlot = Infinity;
  #count = 0;

  /** Calls `callback` after `delayMs`, or up to a slot later. Returns a function that cancels it. */
  schedule(delayMs: number, callback: () => void): () => void {
    const slotNumber = Math.ceil((performance.now() + delayMs) / SLOT_MS);
    let slot = this.#slots.get(slotNumber);
    if (!slot) {
      slot = new Set();
      this.#slots.set(slotNumber, slot);
    }
    const owner = slot;
    // A function of its own, as one callback may be scheduled several times.
    const entry = () => callback();
    owner.add(entry);
    this.#count += 1;
    if (slotNumber < this.#armedSlot) {
      this.#arm(slotNumber);
    } else if (this.#count === 1) {
      this.#timer?.ref();
    }
    return () => {
      if (owner.delete(entry)) {
        this.#remove(slotNumber, owner);
      }
    };
  }

  #remove(slotNumber: number, slot: Slot): void {
    this.#count -= 1;
    if (slot.size === 0 && this.#slots.get(slotNumber) === slot) {
      this.#slots.delete(slotNumber);
    }
    if (this.#count === 0) {
      // It stays armed, but does not keep the process alive.
      this.#timer?.unref();
    }
  }

  #arm(slotNumber: number): void {
    clearTimeout(this.#timer);
    this.#armedSlot = slotNumber;
    const delayMs = slotNumber * SLOT_MS - performance.now();
    this.#timer = setTimeout(() => this.#fire(), Math.max(1, delayMs));
  }

  #fire(): void {
    const lateMs = performance.now() - this.#armedSlot * SLOT_MS;
    if (lateMs >= LATE_MS) {
      runAfterPolls(READ_POLLS, () => this.#runDue());
    } else {
      this.#runDue();
    }
  }

  #runDue(): void {
    this.#timer = undefined;
    this.#armedSlot = Infinity;
    const dueSlot = Math.floor(performance.now() / SLOT_MS);
    const due = [...this.#slots].filter(([number]) => number <= dueSlot)
      .sort(([one], [other]) => one - other);
    try {
      for (const [number, slot] of due) {
        this.#run(number, slot);
      }
    } finally {
      if (this.#slots.size > 0) {
        this.#arm(Math.min(...this.#slots.keys(), this.#armedSlot));
      }
    }
  }

  #run(slotNumber: number, slot: Slot): void {
    for (const entry of slot) {
      slot.delete(entry);
      this.#remove(slotNumber, slot);
      entry();
    }
  }
}

function runAfterPolls(polls: number, callback: () => void): void {
  setImmediate(() =>
    polls > 1 ? runAfterPolls(polls - 1, callback) : callback()
  );
}
