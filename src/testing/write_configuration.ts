/**
 * Acceptance of configurations by tests and experiments.
 */

import { ConfigurationWriter } from "../configuration/mod.ts";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import type { ObjectStore } from "../store/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";

/** Time after which an unsure write is given up, in milliseconds. */
const SETTLE_TIMEOUT_MS = 10_000;

let changeCount = 0;

/**
 * Writes a configuration over the accepted one; fails where that is refused.
 *
 * @param store - The object API
 * @param configuration - A valid configuration
 * @param answers - What it was generated from, if it was
 * @returns The version that accepted it
 *
 * @example
 * const version = await writeConfiguration(store, createTestConfiguration());
 */
export async function writeConfiguration(
  store: ObjectStore,
  configuration: Configuration,
  answers: QuestionnaireAnswers | null = null,
): Promise<number> {
  const writer = new ConfigurationWriter({
    store,
    clock: new SystemClock(),
    random: new RandomSource(1),
    outcomeTimeoutMs: SETTLE_TIMEOUT_MS,
  });
  changeCount += 1;
  const proposal = {
    state: { configuration, answers },
    changeId: `change-${changeCount}`,
    author: "test",
    note: "",
  };
  const accepted = (await writer.readAccepted())._unsafeUnwrap();
  return (await writer.submit(proposal, accepted))._unsafeUnwrap();
}
