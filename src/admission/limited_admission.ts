/**
 * Admission with a bounded queue: what cannot start soon is refused at once.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { InboundAdmission } from "./inbound_admission.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";

/** Waiting calls allowed for each slot. */
const QUEUE_PER_SLOT = 2;

/** Wait suggested to a caller that was refused, in milliseconds. */
const RETRY_AFTER_MS = 500;

interface Waiter {
  readonly classRank: number;
  readonly grant: () => void;
}

/** Slots of the backend server behind a bounded queue ordered by class. */
export class LimitedAdmission extends InboundAdmission {
  #waiting: Waiter[] = [];
  #slots = 1;
  #running = 0;

  override get pendingCalls(): number {
    return this.#running + this.#waiting.length;
  }

  override setCapacity(slots: number, _warmAtMs: number): void {
    this.#slots = slots;
    this.#grantNext();
  }

  override describeLoad(service: string): LoadSignal {
    return {
      service,
      inFlight: this.#running,
      queued: this.#waiting.length,
      limit: this.#slots,
      admitLevel: 1,
    };
  }

  override async enter(call: InboundCall): Promise<Result<Permit, Refusal>> {
    if (this.#running >= this.#slots) {
      if (this.#waiting.length >= this.#slots * QUEUE_PER_SLOT) {
        return err(
          createRefusal(REASONS.overloadedInstance, {
            retryAfterMs: RETRY_AFTER_MS,
          }),
        );
      }
      await new Promise<void>((grant) =>
        this.#waiting.push({ classRank: call.classRank, grant })
      );
    } else {
      this.#running += 1;
    }
    if (call.signal.aborted) {
      this.#release();
      return err(createRefusal(REASONS.cancelled));
    }
    return ok({ release: () => this.#release() });
  }

  #release(): void {
    this.#running -= 1;
    this.#grantNext();
  }

  #grantNext(): void {
    while (this.#running < this.#slots && this.#waiting.length > 0) {
      this.#running += 1;
      this.#takeMostImportant()?.grant();
    }
  }

  #takeMostImportant(): Waiter | undefined {
    const best = this.#waiting.reduce<Waiter | undefined>(
      (first, waiter) =>
        first && first.classRank <= waiter.classRank ? first : waiter,
      undefined,
    );
    this.#waiting = this.#waiting.filter((waiter) => waiter !== best);
    return best;
  }
}
