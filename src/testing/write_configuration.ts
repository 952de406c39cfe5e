/**
 * Writes configurations for tests and experiments.
 */

import { ConfigurationWriter } from "../configuration/mod.ts";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import type { ObjectStore } from "../store/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";

/** Time after which the writer stops trying to determine the outcome of a write, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 10_000;

let changeCount = 0;

/**
 * Writes a configuration based on the accepted one; rejects if it is not accepted.
 *
 * @param store - The object API
 * @param configuration - A valid configuration
 * @param answers - Questionnaire answers that it was generated from, if any
 * @returns The version under which it was accepted
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
    outcomeTimeoutMs: OUTCOME_TIMEOUT_MS,
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
