import * as assert from "uvu/assert";
import fc from "fast-check";
import { suite } from "uvu";
import { advanceUntil } from "../testing/advance_in_steps.ts";
import { findWrongOutcomes } from "../testing/check_configuration_history.ts";
import type { SubmittedChange } from "../testing/check_configuration_history.ts";
import {
  listAll,
  readAccepted,
  submit,
  submitAll,
  withDeadline,
  WRITER_STEP_MS,
  WriterBench,
} from "../testing/configuration_writer_bench.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ConfigurationWriter } from "./configuration_writer.ts";

const test = suite("configuration writer");

/**
 * Faulty writer that does not read back the outcome: it treats a lost response
 * as a failed write.
 */
class NonVerifyingWriter extends ConfigurationWriter {
  protected override resolveOutcome(
    head: Parameters<ConfigurationWriter["resolveOutcome"]>[0],
    failure: Parameters<ConfigurationWriter["resolveOutcome"]>[1],
  ): ReturnType<ConfigurationWriter["resolveOutcome"]> {
    return failure.kind === "conflict"
      ? super.resolveOutcome(
        { ...head, changes: [{ ...head.changes[0]!, changeId: "other" }] },
        failure,
        false,
      )
      : Promise.resolve(undefined);
  }
}

test("of two concurrent changes to the same version one is accepted and the other gets a conflict", async () => {
  const bench = new WriterBench();
  const [first, second] = [bench.createWriter(1), bench.createWriter(2)];
  await submitAll(bench, first, 1);
  const seen = await readAccepted(bench, second);
  const results = await advanceUntil(
    bench.clock,
    Promise.all([
      submit(first, seen, {
        changeId: "one",
        configuration: withDeadline(701),
      }),
      submit(second, seen, {
        changeId: "two",
        configuration: withDeadline(702),
      }),
    ]),
    WRITER_STEP_MS,
  );
  const losers = results.filter((result) => result.isErr());
  assert.is(losers.length, 1);
  const error = losers[0]!._unsafeUnwrapErr();
  assert.is(error.name, "ConfigurationConflict");
  assert.match(error.message, /version 2 by (one|two)/);
});

test("a write whose response is lost is recognized by its change id", async () => {
  const bench = new WriterBench();
  const operator = bench.createWriter(1);
  await submitAll(bench, operator, 2);
  const seen = await readAccepted(bench, operator);
  operator.faults.losesResponses = true;
  const result = await advanceUntil(
    bench.clock,
    submit(operator, seen, {
      changeId: "lost",
      configuration: withDeadline(900),
    }),
    WRITER_STEP_MS,
  );
  assert.is(result._unsafeUnwrap(), 3);
});

test("a write during a permanent outage is reported neither as accepted nor as a conflict", async () => {
  const bench = new WriterBench();
  const operator = bench.createWriter(1);
  await submitAll(bench, operator, 1);
  const seen = await readAccepted(bench, operator);
  const submission = submit(operator, seen, {
    changeId: "late",
    configuration: withDeadline(900),
  });
  operator.faults.isDown = true;
  const result = await advanceUntil(bench.clock, submission, WRITER_STEP_MS);
  assert.match(
    result._unsafeUnwrapErr().name,
    /StoreUnavailable|ConfigurationUnsettled/,
  );
});

test("an invalid configuration is rejected before anything is written", async () => {
  const bench = new WriterBench();
  const operator = bench.createWriter(1);
  const configuration = { ...createTestConfiguration(), classes: [] };
  const result = await submit(operator, undefined, {
    changeId: "invalid",
    configuration,
  });
  assert.is(result._unsafeUnwrapErr().name, "ConfigurationInvalid");
  assert.is(bench.table.get("configuration/current"), undefined);
});

test("every version in the history can be read back, including large changes", async () => {
  const bench = new WriterBench();
  const operator = bench.createWriter(1);
  await submitAll(bench, operator, 30);
  const renamed = {
    ...withDeadline(131),
    services: withDeadline(131).services.concat(
      Array.from({ length: 60 }, (_, index) => ({
        name: `extra-${index}`,
        calls: [],
      })),
    ),
  };
  const seen = await readAccepted(bench, operator);
  const large = submit(operator, seen, {
    changeId: "large",
    configuration: renamed,
  });
  assert.is(
    (await advanceUntil(bench.clock, large, WRITER_STEP_MS)).isOk(),
    true,
  );
  const accepted = await readAccepted(bench, operator);
  for (let version = 1; version <= 31; version += 1) {
    const state = await advanceUntil(
      bench.clock,
      operator.writer.history.readVersion(accepted!.head, version),
      WRITER_STEP_MS,
    );
    const { configuration } = state._unsafeUnwrap();
    const request = configuration.requests.find(({ name }) =>
      name === "fetch-round"
    );
    assert.is(request?.deadlineMs, 100 + version);
  }
  const changes = await listAll(bench, operator);
  assert.equal(
    changes.map(({ version }) => version),
    Array.from({ length: 31 }, (_, index) => 31 - index),
  );
});

test("a writer that was paused until every base in the ring was replaced gets a conflict and overwrites nothing", async () => {
  const bench = new WriterBench();
  const [active, paused] = [bench.createWriter(1), bench.createWriter(2)];
  await submitAll(bench, active, 8);
  const seen = await readAccepted(bench, paused);
  for (let index = 9; index <= 8 * 66; index += 1) {
    const current = await readAccepted(bench, active);
    const change = {
      changeId: `later-${index}`,
      configuration: withDeadline(100 + index),
    };
    await advanceUntil(
      bench.clock,
      submit(active, current, change),
      WRITER_STEP_MS,
    );
  }
  const late = submit(paused, seen, {
    changeId: "paused",
    configuration: withDeadline(7),
  });
  const result = await advanceUntil(bench.clock, late, WRITER_STEP_MS);
  assert.is(result._unsafeUnwrapErr().name, "ConfigurationConflict");
  const { state } = (await readAccepted(bench, active))!;
  assert.is(state.version, 8 * 66);
});

/**
 * Runs concurrent writers with separate faults; returns one sentence per change
 * whose reported result contradicts the history.
 */
async function runConcurrentWriters(
  Writer: typeof ConfigurationWriter,
  rounds: readonly { faults: readonly string[]; outageMs: number }[],
): Promise<string[]> {
  const bench = new WriterBench(Writer);
  const operators = [1, 2, 3].map((seed) => bench.createWriter(seed));
  const auditor = bench.createWriter(4);
  const submitted: SubmittedChange[] = [];
  await submitAll(bench, operators[0]!, 1);
  for (const [round, { faults, outageMs }] of rounds.entries()) {
    const seen = await readAccepted(bench, auditor);
    const submissions = operators.map(async (operator, index) => {
      const changeId = `round-${round}-${index}`;
      const configuration = withDeadline(1_000 + round * 10 + index);
      operator.faults.losesResponses = faults[index] === "loses";
      operator.faults.isDown = faults[index] === "down";
      bench.clock.schedule(outageMs, () => {
        operator.faults.losesResponses = false;
        operator.faults.isDown = false;
      });
      const result = await submit(operator, seen, {
        changeId,
        configuration,
      });
      submitted.push({ changeId, result });
    });
    await advanceUntil(bench.clock, Promise.all(submissions), WRITER_STEP_MS);
  }
  return findWrongOutcomes(submitted, await listAll(bench, auditor));
}

const roundsArbitrary = fc.array(
  fc.record({
    faults: fc.array(fc.constantFrom("none", "loses", "down"), {
      minLength: 3,
      maxLength: 3,
    }),
    outageMs: fc.integer({ min: 10, max: 5_000 }),
  }),
  { minLength: 1, maxLength: 6 },
);

test("whichever responses are lost, operators get the actual outcome of their change", async () => {
  await fc.assert(
    fc.asyncProperty(roundsArbitrary, async (rounds) => {
      assert.equal(await runConcurrentWriters(ConfigurationWriter, rounds), []);
    }),
    { seed: 601, numRuns: 60 },
  );
});

test("the check detects a writer that does not read back the outcome", async () => {
  const details = await fc.check(
    fc.asyncProperty(roundsArbitrary, async (rounds) => {
      assert.equal(await runConcurrentWriters(NonVerifyingWriter, rounds), []);
    }),
    { seed: 601, numRuns: 60 },
  );
  assert.ok(details.failed);
  const { actual } = details.errorInstance as { actual: string[] };
  assert.match(actual.join("\n"), /was accepted/);
});

test.run();
