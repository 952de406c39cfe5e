/**
 * Shares of the slots by account, separately for each class, and for nested
 * calls and new chains, since accounts compete only within these.
 */

import type { AccountShare } from "./account_share.ts";
import { FairClock } from "./fair_clock.ts";
import type { InboundCall } from "./inbound_admission.ts";

/** Upper bound of the class ranks that are told apart. */
const MAX_RANKS = 16;

/** Share that a call counts towards, open until the call ends. */
export interface OpenShare {
  readonly clock: FairClock;
  readonly share: AccountShare;
  /** Number of the class and kind of call. */
  readonly kind: number;
}

/** Fair clocks by class and kind of call. */
export class FairShares {
  readonly #clocks: (FairClock | undefined)[] = [];

  /** Opens the share of an arriving call. */
  open({ classRank, context }: InboundCall, nowMs: number): OpenShare {
    const rank = Math.min(MAX_RANKS - 1, classRank);
    const index = 2 * rank + Number(context.depth > 0);
    const clock = this.#clocks[index] ??= new FairClock(nowMs);
    const share = clock.open(context.member, nowMs);
    return { clock, share, kind: index };
  }
}
