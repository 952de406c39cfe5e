/**
 * Interface of admission control at the entry, where requests enter the fleet
 * and before any work is done on them, and its baseline without protection.
 */

import { ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import type { Refusal } from "../outcome/mod.ts";

/** A request to be admitted or refused. */
export interface EntryRequest {
  readonly request: CompiledRequest;
  readonly member: string;
  readonly requestId: string;
}

/** Grant for an admitted request. */
export interface EntryGrant {
  /** Admit ratio at which the request was admitted; undefined if nothing is refused. */
  readonly mark: AdmissionMark | undefined;
}

/** Outcome of an admitted request. */
export interface EntryOutcome {
  readonly member: string;
  readonly isServed: boolean;
}

/** Decides which requests are admitted and may start a chain of calls. */
export abstract class EntryAdmission {
  /** Admits or refuses a request before it starts. */
  abstract check(entry: EntryRequest): Result<EntryGrant, Refusal>;

  /** Processes the load signals of a reply. */
  abstract observe(loads: readonly LoadSignal[]): void;

  /** Records whether an admitted request was served. */
  recordOutcome(_request: CompiledRequest, _outcome: EntryOutcome): void {
    // No-op by default; overridden by implementations that use outcomes.
  }

  /** Records that an admitted request reached no instance, so its outcome says nothing about the capacity of the fleet. */
  recordUnreached(_request: CompiledRequest, _member: string): void {
    // No-op by default; overridden by implementations that use outcomes.
  }

  /** Lists load signals of overloaded services to relay to callers of this daemon. */
  abstract listOverloadSignals(services: readonly string[]): LoadSignal[];
}

/** Baseline without protection: admits every request. */
export class UnprotectedEntryAdmission extends EntryAdmission {
  override check(_entry: EntryRequest): Result<EntryGrant, Refusal> {
    return ok({ mark: undefined });
  }

  override observe(_loads: readonly LoadSignal[]): void {
    // Load signals are not needed, since nothing is refused.
  }

  override listOverloadSignals(_services: readonly string[]): LoadSignal[] {
    return [];
  }
}
