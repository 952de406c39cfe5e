/**
 * Requests of limited accounts: each one gets a token, waits for one or is
 * refused.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { AllowanceOptions, AllowancePermit } from "./allowance_control.ts";
import type { AllowanceFleet } from "./allowance_fleet.ts";
import type { AllowanceMetrics } from "./allowance_metrics.ts";
import type { BorrowerAccount } from "./borrower_account.ts";
import type { TakenToken } from "./borrowed_tokens.ts";

/** Longest wait of a request for a token, and the part of its remaining time that it may wait. */
const MAX_WAIT_MS = 250;
const WAIT_RATIO = 0.25;

/** Suggested delay if no holder has replied, in milliseconds; the own share is usable then. */
const NO_HOLDER_RETRY_MS = 1_200;

/** Dependencies of the requests. */
export interface TokenRequestsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly fleet: AllowanceFleet;
  readonly journal?: DecisionJournal | undefined;
  readonly metrics?: AllowanceMetrics | undefined;
  /** Returns the incarnation of the last holder of this daemon's share of a group. */
  readonly getHolder: (group: number) => string;
  /** Asks the holder of a group for tokens. */
  readonly ask: (group: number) => void;
}

/** Serves requests from the tokens in hand. */
export class TokenRequests {
  readonly #options: TokenRequestsOptions;

  constructor(options: TokenRequestsOptions) {
    this.#options = options;
  }

  /** Takes a token for a request that {@link BorrowerAccount.recordRequest} has counted. */
  acquire(
    entry: BorrowerAccount,
    options: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>> {
    const nowMs = this.#options.clock.monotonicMs();
    const token = entry.waiting.size === 0
      ? entry.tokens.take(nowMs)
      : undefined;
    if (token) {
      return Promise.resolve(ok(this.#grant(entry, token)));
    }
    if (entry.isDenied(nowMs)) {
      return Promise.resolve(
        err(this.#refuse(entry, options.requestId, "denied-lately")),
      );
    }
    return this.#waitForToken(entry, options);
  }

  /** Refuses a request of an account that cannot be tracked. */
  refuseUntracked(): Refusal {
    return createRefusal(REASONS.overAllowance, {
      retryAfterMs: NO_HOLDER_RETRY_MS,
    });
  }

  #grant(entry: BorrowerAccount, token: TakenToken): AllowancePermit {
    const { clock, metrics } = this.#options;
    entry.granted += 1;
    metrics?.recordGranted(entry.name);
    let isReturned = false;
    return {
      giveBack: () => {
        if (!isReturned) {
          isReturned = true;
          entry.granted -= 1;
          entry.tokens.putBack(token, clock.monotonicMs());
        }
      },
    };
  }

  #refuse(entry: BorrowerAccount, requestId: string, cause: string): Refusal {
    const { clock, fleet, journal, metrics, random, getHolder } = this.#options;
    const nowMs = clock.monotonicMs();
    const hasHolder = cause !== "no-holder";
    const retryAfterMs = hasHolder
      ? entry.refuse(nowMs, random)
      : Math.ceil(NO_HOLDER_RETRY_MS * (1 + random.nextFloat()));
    // Without a reply it is not known whether the allowance is used up.
    entry.refused += hasHolder ? 0 : 1;
    metrics?.recordRefused(entry.name);
    const { ratePerSecond, burst } = entry.limits;
    journal?.record(DECISIONS.overAllowance, {
      reason: REASONS.overAllowance,
      account: entry.name,
      ...{ cause, ratePerSecond, burst, retryAfterMs },
      holder: getHolder(entry.group),
      memberCount: fleet.memberCount,
      refusedHere: entry.refused,
    }, requestId);
    return createRefusal(REASONS.overAllowance, { retryAfterMs });
  }

  #waitForToken(
    entry: BorrowerAccount,
    { deadlineAtMs, requestId, signal }: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>> {
    const { clock, ask } = this.#options;
    const remainingMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
    const waitMs = Math.min(MAX_WAIT_MS, remainingMs * WAIT_RATIO);
    return new Promise((resolve) => {
      const settle = (result: Result<AllowancePermit, Refusal>) => {
        cancelTimeout();
        signal.removeEventListener("abort", abort);
        entry.waiting.delete(request);
        resolve(result);
      };
      const request = (token: TakenToken | undefined) =>
        settle(
          token
            ? ok(this.#grant(entry, token))
            : err(this.#refuse(entry, requestId, "denied")),
        );
      const abort = () => settle(err(createRefusal(REASONS.cancelled)));
      const cancelTimeout = clock.schedule(
        waitMs,
        () => settle(err(this.#refuse(entry, requestId, "no-holder"))),
      );
      signal.addEventListener("abort", abort);
      entry.waiting.add(request);
      if (entry.isPrompt(clock.monotonicMs())) {
        ask(entry.group);
      }
    });
  }
}
