/**
 * Power of two random choices, by the calls that are pending at an instance.
 */

import type { InboundAdmission } from "../admission/mod.ts";
import type { RandomSource } from "../time/mod.ts";

/**
 * Chooses the less loaded of two random instances.
 *
 * @param gates - The instances to choose from
 * @param random - Source of the choices
 * @returns The instance; undefined if there are none
 *
 * @example
 * const gate = chooseLessLoaded(gates, random);
 */
export function chooseLessLoaded(
  gates: readonly InboundAdmission[],
  random: RandomSource,
): InboundAdmission | undefined {
  const one = random.choose(gates);
  const other = random.choose(gates);
  return one && other && other.pendingCalls < one.pendingCalls ? other : one;
}
