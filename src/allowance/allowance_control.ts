/**
 * Interface of the control of request rates by client account.
 */

import type { Result } from "neverthrow";
import type { CallSignal } from "../cancellation/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import type { AllowanceStatus } from "./allowance_status.ts";

/** A client account with its rate over all daemons. */
export interface LimitedAccount {
  readonly name: string;
  /** Requests per second; unlimited if undefined or 0. */
  readonly ratePerSecond?: number | undefined;
  /** Requests that may be made at once beyond the rate. */
  readonly burst?: number | undefined;
}

/** Request for which a token is taken. */
export interface AllowanceOptions {
  readonly requestId: string;
  /** Deadline of the request, in monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly signal: CallSignal;
}

/** A token taken for one request. */
export interface AllowancePermit {
  /** Returns the token of a request that has reached no backend server. */
  giveBack(): void;
}

/** Decides whether a request is within the allowance of its account. */
export abstract class AllowanceControl {
  /** Takes a token for a request, or refuses it as over the allowance. */
  abstract acquire(
    account: LimitedAccount,
    options: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>>;

  /** Whether the account has lately used all of its allowance. */
  abstract isUsedUp(accountName: string): boolean;

  /** Incarnations of the daemons that have this daemon's shares, to which connections are kept. */
  get holders(): readonly string[] {
    return [];
  }

  /** Describes the state for operators; undefined if nothing is limited here. */
  describe(): AllowanceStatus | undefined {
    return undefined;
  }

  /** Updates the gauges before metrics are read. */
  updateMetrics(): void {
    // Nothing is measured by default.
  }

  /** Stops all timers, and refuses the requests that wait for a token. */
  stop(): void {
    // Nothing runs by default.
  }
}
