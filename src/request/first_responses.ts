/**
 * Bound of the downloads of one kind that run while nothing is known of the size
 * of their responses.
 *
 * A daemon that has just started expects nothing, so that a burst of downloads
 * would run as a whole before the first response shows how many can be held. A
 * few go first; the others wait until the head of one of their responses has
 * arrived, and then reserve memory as usual.
 */

import { RESPONSE_RANK } from "../memory/mod.ts";
import type { Clock } from "../time/mod.ts";
import { describeKind } from "./describe_kind.ts";
import type { OutboundCall } from "./outbound_call.ts";
import type { ResponseSizes } from "./response_sizes.ts";

/** Most calls of a kind that run while the size is unknown; each may turn out to need up to a quarter of the memory for large bodies. */
const MAX_FIRST_CALLS = 4;

interface WaitingCall {
  readonly call: OutboundCall;
  readonly settle: (isAdmitted: boolean) => void;
}

interface UnknownKind {
  readonly running: Set<OutboundCall>;
  readonly waiting: Set<WaitingCall>;
}

/** Lets the first calls of each kind run, and others wait until the size is known. */
export class FirstResponses {
  readonly #clock: Clock;
  readonly #sizes: ResponseSizes;
  readonly #unknownKinds = new Map<string, UnknownKind>();

  constructor(clock: Clock, sizes: ResponseSizes) {
    this.#clock = clock;
    this.#sizes = sizes;
    sizes.subscribe((kind) => this.#admitAll(kind));
  }

  /** Resolves to whether a call of unknown size may go on: as one of the first, or since the size is known. Gives up after `maxWaitMs` milliseconds. */
  admit(call: OutboundCall, maxWaitMs: number): Promise<boolean> {
    const kind = describeKind(call);
    const unknown = this.#unknownKinds.get(kind) ??
      { running: new Set(), waiting: new Set() };
    this.#unknownKinds.set(kind, unknown);
    if (unknown.running.size < MAX_FIRST_CALLS) {
      this.#start(kind, call, unknown);
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const giveUp = () => waiting.settle(false);
      const cancelTimer = this.#clock.schedule(maxWaitMs, giveUp);
      const waiting: WaitingCall = {
        call,
        settle: (isAdmitted) => {
          unknown.waiting.delete(waiting);
          cancelTimer();
          call.signal.removeEventListener("abort", giveUp);
          resolve(isAdmitted);
        },
      };
      unknown.waiting.add(waiting);
      call.signal.addEventListener("abort", giveUp);
    });
  }

  #start(kind: string, call: OutboundCall, unknown: UnknownKind): void {
    unknown.running.add(call);
    call.memory.onReleased(() => this.#end(kind, call, unknown));
  }

  /** A call has ended. If it has not shown the size, the next one may. */
  #end(kind: string, call: OutboundCall, unknown: UnknownKind): void {
    if (this.#unknownKinds.get(kind) !== unknown) {
      return;
    }
    unknown.running.delete(call);
    const [next] = unknown.waiting;
    if (next) {
      this.#start(kind, next.call, unknown);
      next.settle(true);
    } else if (unknown.running.size === 0) {
      this.#unknownKinds.delete(kind);
    }
  }

  #reserve(kind: string, { memory }: OutboundCall, bytes: number): void {
    // Without room, the memory is acquired when the head of the response arrives.
    if (memory.tryReserveAhead(bytes, RESPONSE_RANK)) {
      memory.onReleased(memory.budget.holds.begin(kind, bytes));
    }
  }

  #admitAll(kind: string): void {
    const unknown = this.#unknownKinds.get(kind);
    if (!unknown) {
      return;
    }
    this.#unknownKinds.delete(kind);
    // The first calls have run: their responses go before calls that have not.
    for (const call of unknown.running) {
      const missingBytes = this.#sizes.expect(call) - call.memory.aheadBytes;
      if (missingBytes > 0) {
        this.#reserve(kind, call, missingBytes);
      }
    }
    unknown.waiting.forEach(({ settle }) => settle(true));
  }
}
