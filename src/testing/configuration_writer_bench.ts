/**
 * Operators who write configurations to one object table.
 */

import * as assert from "uvu/assert";
import type VError from "verror";
import type { Result } from "neverthrow";
import { ConfigurationWriter } from "../configuration/mod.ts";
import type {
  AcceptedState,
  ConfigurationWriterOptions,
} from "../configuration/mod.ts";
import type { Configuration, ConfigurationChange } from "../generated/types.ts";
import { RandomSource } from "../time/mod.ts";
import { advanceUntil } from "./advance_in_steps.ts";
import { createTestConfiguration } from "./create_test_configuration.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryObjectStore } from "./memory_object_store.ts";
import type { ObjectApiFaults } from "./object_api_stand_in.ts";
import { ObjectTable } from "./object_table.ts";

/** Movement of the clock between two rounds of tasks, in milliseconds. */
export const WRITER_STEP_MS = 20;

/** An operator with faults of the own access to the store. */
export interface Operator {
  readonly faults: ObjectApiFaults;
  readonly writer: ConfigurationWriter;
}

/** An object table with operators on a manual clock. */
export class WriterBench {
  readonly clock = new ManualClock();
  readonly table = new ObjectTable();
  readonly #Writer: typeof ConfigurationWriter;

  constructor(Writer = ConfigurationWriter) {
    this.#Writer = Writer;
  }

  /** Adds an operator. */
  createWriter(seed: number): Operator {
    const { clock, table } = this;
    const faults = {
      isDown: false,
      losesResponses: false,
      servesStaleReads: false,
      delayMs: 5,
    };
    const options: ConfigurationWriterOptions = {
      store: new MemoryObjectStore({ table, clock, faults }),
      clock,
      random: new RandomSource(seed),
      outcomeTimeoutMs: 30_000,
    };
    return { faults, writer: new this.#Writer(options) };
  }
}

/**
 * Creates a configuration that differs in one deadline.
 *
 * @param deadlineMs - The deadline of the first request
 * @returns The configuration
 *
 * @example
 * withDeadline(700);
 */
export function withDeadline(deadlineMs: number): Configuration {
  const configuration = createTestConfiguration();
  return {
    ...configuration,
    requests: configuration.requests.map((request, index) =>
      index === 0 ? { ...request, deadlineMs } : request
    ),
  };
}

/**
 * Reads what is accepted, as an operator sees it.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @returns What is accepted
 *
 * @example
 * const seen = await readAccepted(bench, operator);
 */
export async function readAccepted(
  bench: WriterBench,
  { writer }: Operator,
): Promise<AcceptedState | undefined> {
  const accepted = await advanceUntil(
    bench.clock,
    writer.readAccepted(),
    WRITER_STEP_MS,
  );
  return accepted._unsafeUnwrap();
}

/**
 * Proposes a change.
 *
 * @param operator - The operator
 * @param seen - What the operator saw
 * @param change - The change
 * @returns What the operator is told
 *
 * @example
 * submit(operator, seen, { changeId: "one", configuration });
 */
export function submit(
  { writer }: Operator,
  seen: AcceptedState | undefined,
  change: { changeId: string; configuration: Configuration },
): Promise<Result<number, VError>> {
  return writer.submit({
    state: { configuration: change.configuration, answers: null },
    changeId: change.changeId,
    author: change.changeId,
    note: "",
  }, seen);
}

/**
 * Has changes accepted one after the other.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @param count - How many
 * @returns When all are accepted
 *
 * @example
 * await submitAll(bench, operator, 8);
 */
export async function submitAll(
  bench: WriterBench,
  operator: Operator,
  count: number,
): Promise<void> {
  for (let index = 1; index <= count; index += 1) {
    const seen = await readAccepted(bench, operator);
    const change = {
      changeId: `change-${index}`,
      configuration: withDeadline(100 + index),
    };
    const result = await advanceUntil(
      bench.clock,
      submit(operator, seen, change),
      WRITER_STEP_MS,
    );
    assert.is(result._unsafeUnwrap(), index);
  }
}

/**
 * Lists every accepted change.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @returns Changes, the newest first
 *
 * @example
 * const history = await listAll(bench, operator);
 */
export async function listAll(
  bench: WriterBench,
  operator: Operator,
): Promise<ConfigurationChange[]> {
  const accepted = await readAccepted(bench, operator);
  if (!accepted) {
    return [];
  }
  const changes = await advanceUntil(
    bench.clock,
    operator.writer.history.listChanges(accepted.head, {
      aboveVersion: 0,
      limit: 1_000,
    }),
    WRITER_STEP_MS,
  );
  return changes._unsafeUnwrap();
}
