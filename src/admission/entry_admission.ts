/**
 * Admission of requests where they enter the fleet, before any work is done.
 */

import { ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import type { Refusal } from "../outcome/mod.ts";

/** What entry admission is told about a request. */
export interface EntryRequest {
  readonly request: CompiledRequest;
  readonly member: string;
  readonly requestId: string;
}

/** A request that may start. */
export interface EntryGrant {
  /** The share that was admitted; undefined if it was all. */
  readonly mark: AdmissionMark | undefined;
}

/** Decides which requests may start a chain of calls. */
export abstract class EntryAdmission {
  /** Admits or refuses a request that has not started. */
  abstract check(entry: EntryRequest): Result<EntryGrant, Refusal>;

  /** Learns from the load signals of a reply. */
  abstract observe(loads: readonly LoadSignal[]): void;

  /** Learns how an admitted request ended: whether callers got what they asked for. */
  recordOutcome(_request: CompiledRequest, _isServed: boolean): void {
    // Only what learns from outcomes needs them.
  }

  /** An admitted request reached no instance, which tells nothing of what the fleet can serve. */
  recordUnreached(_request: CompiledRequest): void {
    // Only what learns from outcomes needs to know.
  }

  /** Signals of overloaded services to pass on to those who call through this daemon. */
  abstract listOverloadSignals(services: readonly string[]): LoadSignal[];
}

/** The baseline: everything may start. */
export class UnprotectedEntryAdmission extends EntryAdmission {
  override check(_entry: EntryRequest): Result<EntryGrant, Refusal> {
    return ok({ mark: undefined });
  }

  override observe(_loads: readonly LoadSignal[]): void {
    // Nothing is learnt, since nothing is refused.
  }

  override listOverloadSignals(_services: readonly string[]): LoadSignal[] {
    return [];
  }
}
