/**
 * Test bench with operators that write configurations to one object table.
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

/** Length of a clock step, in milliseconds. */
export const WRITER_STEP_MS = 20;

/** A writer with the faults of its own store access. */
export interface Operator {
  readonly faults: ObjectApiFaults;
  readonly writer: ConfigurationWriter;
}

/** An object table on a manual clock. */
export class WriterBench {
  readonly clock = new ManualClock();
  readonly table = new ObjectTable();
  readonly #Writer: typeof ConfigurationWriter;

  constructor(Writer = ConfigurationWriter) {
    this.#Writer = Writer;
  }

  /** Creates an operator with its own store access and random seed. */
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
 * Creates the test configuration with another deadline of its first request.
 *
 * @param deadlineMs - The deadline, in milliseconds
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
 * Reads the accepted state through an operator's store access.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @returns The accepted state; undefined before the first configuration
 *
 * @example
 * const accepted = await readAccepted(bench, operator);
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
 * Submits a change.
 *
 * @param operator - The operator
 * @param basedOn - The accepted state that the change is based on
 * @param change - The change
 * @returns The accepted version, or the error that is reported to the operator
 *
 * @example
 * submit(operator, basedOn, { changeId: "one", configuration });
 */
export function submit(
  { writer }: Operator,
  basedOn: AcceptedState | undefined,
  change: { changeId: string; configuration: Configuration },
): Promise<Result<number, VError>> {
  return writer.submit({
    state: { configuration: change.configuration, answers: null },
    changeId: change.changeId,
    author: change.changeId,
    note: "",
  }, basedOn);
}

/**
 * Submits changes one after another and asserts that each is accepted.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @param count - Number of changes
 * @returns Resolves when all are accepted
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
    const basedOn = await readAccepted(bench, operator);
    const change = {
      changeId: `change-${index}`,
      configuration: withDeadline(100 + index),
    };
    const result = await advanceUntil(
      bench.clock,
      submit(operator, basedOn, change),
      WRITER_STEP_MS,
    );
    assert.is(result._unsafeUnwrap(), index);
  }
}

/**
 * Lists all accepted changes.
 *
 * @param bench - The bench
 * @param operator - The operator
 * @returns The changes, newest first
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
