/**
 * Baseline load balancer that picks instances uniformly at random.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import type { RandomSource } from "../time/mod.ts";
import { LoadBalancer, NO_INSTANCE } from "./load_balancer.ts";
import type {
  AttemptReport,
  PayloadInfo,
  PickFailure,
  PickOptions,
} from "./load_balancer.ts";

/** Picks a random instance, regardless of load and locality. */
export class RandomLoadBalancer extends LoadBalancer {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override pick(
    candidates: readonly MemberRecord[],
    options: PickOptions,
  ): Result<MemberRecord, PickFailure> {
    const picked = this.#random.choose(
      candidates.filter(({ incarnation }) =>
        !options.excluded.has(incarnation)
      ),
    );
    return picked ? ok(picked) : err(NO_INSTANCE);
  }

  override startAttempt(_instance: MemberRecord, _payload: PayloadInfo): void {
    // Random selection needs no statistics.
  }

  override finishAttempt(
    _instance: MemberRecord,
    _report: AttemptReport,
  ): void {
    // Random selection needs no statistics.
  }
}
