/**
 * The baseline: any instance, each as likely.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { MemberRecord } from "../generated/types.ts";
import type { RandomSource } from "../time/mod.ts";
import { LoadBalancer, NO_INSTANCE } from "./load_balancer.ts";
import type {
  AttemptReport,
  BodySize,
  ChoiceOptions,
  ChoiceRefusal,
} from "./load_balancer.ts";

/** Chooses at random. */
export class RandomLoadBalancer extends LoadBalancer {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override choose(
    candidates: readonly MemberRecord[],
    options: ChoiceOptions,
  ): Result<MemberRecord, ChoiceRefusal> {
    const chosen = this.#random.choose(
      candidates.filter(({ incarnation }) =>
        !options.excluded.has(incarnation)
      ),
    );
    return chosen ? ok(chosen) : err(NO_INSTANCE);
  }

  override begin(_instance: MemberRecord, _body: BodySize): void {
    // Nothing is counted.
  }

  override end(_instance: MemberRecord, _report: AttemptReport): void {
    // Nothing is learnt.
  }
}
