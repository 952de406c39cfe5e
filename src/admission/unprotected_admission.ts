/**
 * Baseline without protection: calls wait in order of arrival, without queue
 * limit, expiry or priority.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { LoadSignal } from "../generated/types.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { InboundAdmission } from "./inbound_admission.ts";
import type { InboundCall, Permit } from "./inbound_admission.ts";

type Grant = () => void;

/** Slots of the backend server with an unbounded FIFO queue. */
export class UnprotectedAdmission extends InboundAdmission {
  readonly #waiting: Grant[] = [];
  #slots = 1;
  #running = 0;

  override get pendingCalls(): number {
    return this.#running + this.#waiting.length;
  }

  override setCapacity(slots: number): void {
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

  override async acquire(call: InboundCall): Promise<Result<Permit, Refusal>> {
    if (this.#running >= this.#slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
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
      this.#waiting.shift()?.();
    }
  }
}
