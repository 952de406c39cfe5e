import { suite } from "uvu";
import * as assert from "uvu/assert";
import VError from "verror";
import { DecisionJournal } from "../telemetry/mod.ts";
import { createRecordingLogger } from "../testing/create_recording_logger.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import { describeRefusedVersion } from "./refused_version.ts";
import type { RefusedVersion } from "./refused_version.ts";

const test = suite("configuration progress");

function createBench() {
  const clock = new ManualClock();
  const holder = new ConfigurationHolder();
  const { log, lines } = createRecordingLogger();
  const counted: string[] = [];
  const progress = new ConfigurationProgress({
    ...{ holder, clock, log, journal: new DecisionJournal(clock, log) },
    reportRefusal: ({ reason, source }) => counted.push(`${reason} ${source}`),
  });
  const activate = (version: number) =>
    holder.replaceIfNewer(createTestConfiguration(), version);
  const listErrors = () => lines.filter(({ level }) => level === "error");
  return { activate, clock, counted, lines, listErrors, progress };
}

function createRefusal(options: Partial<RefusedVersion> = {}): RefusedVersion {
  const copy = {
    version: 22,
    source: "store",
    peer: "",
    revision: 13,
  } as const;
  const error = new VError(
    { info: { reason: "duplicate-route", findings: ["routes[3]", "more"] } },
    "routes[3]; more",
  );
  return { ...describeRefusedVersion(copy, error), ...options };
}

// The version of the store counted only once it was active, so that a daemon that
// refused it looked like one whose store is quiet.
test("a refused version counts as the store's, and the time below it is told", () => {
  const { activate, clock, progress } = createBench();
  activate(21);
  progress.recordStored(22);
  progress.recordRefusal(createRefusal());
  clock.advance(7_000);
  const { activeVersion, storeVersion, behindMs, refused } = progress
    .describe();
  assert.equal([activeVersion, storeVersion, behindMs], [21, 22, 7_000]);
  assert.is(refused?.reason, "duplicate-route");
  assert.is(refused?.entry, "routes[3]");
  assert.is(refused?.refusedForMs, 7_000);
});

// One refusal wrote two lines, and none after the first said that it still stands.
test("a refusal is logged once, again every 30 s, and when it ends", () => {
  const { activate, clock, counted, lines, listErrors, progress } =
    createBench();
  activate(21);
  progress.recordStored(22);
  progress.recordRefusal(createRefusal());
  progress.recordRefusal(createRefusal());
  assert.is(listErrors().length, 1);
  assert.equal(counted, ["duplicate-route store"]);
  for (let second = 0; second < 65; second += 1) {
    clock.advance(1_000);
    progress.remind();
  }
  const [, ...reminders] = listErrors();
  assert.equal(
    reminders.map(({ fields }) => fields.refusedForMs),
    [30_000, 60_000],
  );
  progress.recordStored(23);
  activate(23);
  progress.recordAccepted();
  clock.advance(60_000);
  progress.remind();
  assert.is(listErrors().length, 3);
  assert.equal(
    lines.filter(({ event }) => event === "configuration-refusal-ended").length,
    1,
  );
  assert.is(progress.describe().refused, undefined);
  assert.is(progress.describe().behindMs, 0);
});

// A refusal would be reported for ever after the operator took the version back.
test("a refusal of the store's object ends when a later object is accepted, and that of a peer's copy does not", () => {
  const { activate, progress } = createBench();
  activate(21);
  progress.recordRefusal(createRefusal());
  progress.recordStored(21);
  progress.recordAccepted();
  assert.is(progress.describe().refused, undefined);
  progress.recordRefusal(
    createRefusal({ source: "peer", peer: "p", revision: 0 }),
  );
  progress.recordAccepted();
  assert.is(progress.describe().refused?.version, 22);
  activate(22);
  assert.is(progress.describe().refused, undefined);
});

test("an object that states no version counts as ahead of the active one until a valid one follows", () => {
  const { activate, clock, progress } = createBench();
  activate(21);
  progress.recordRefusal(createRefusal({ version: 0 }));
  clock.advance(1_000);
  assert.is(progress.describe().behindMs, 1_000);
  activate(22);
  assert.is(progress.describe().behindMs, 0);
});

test("a daemon without a usable configuration names the refused or unconfirmed version", () => {
  const { activate, progress } = createBench();
  progress.recordStored(22);
  assert.is(progress.explainMissing().reason, "unreadable");
  progress.recordRefusal(createRefusal());
  assert.equal(progress.explainMissing(), {
    ...{ reason: "refused-version", version: 22 },
  });
  activate(21);
  assert.equal(progress.explainMissing(), {
    ...{ reason: "not-confirmed", version: 21 },
  });
});

// A label made from the content of a document would let callers' keys into metrics
// and grow without bound.
test("a reason that has not the form of one is counted as invalid", () => {
  for (const reason of ["Secret Key 7", "a-b-c-d-e-f-g", undefined, 7]) {
    const error = new VError({ info: { reason } }, "x".repeat(10_000));
    const refused = describeRefusedVersion(createRefusal(), error);
    assert.is(refused.reason, "invalid");
    assert.ok(refused.entry.length <= 200 && refused.error.length <= 2_000);
  }
});

test.run();
