import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import { ConfigurationUpdater } from "./configuration_updater.ts";

const test = suite("configuration updater");

const INVALID = new Error("invalid");

function createBench() {
  const holder = new ConfigurationHolder();
  const clock = new ManualClock();
  const log = createSilentLogger();
  const journal = new DecisionJournal(clock);
  const updater = new ConfigurationUpdater({
    ...{ holder, log, journal },
    progress: new ConfigurationProgress({ holder, clock, log, journal }),
    announce: () => undefined,
  });
  const activate = (version: number) =>
    updater.activate(
      { configuration: createTestConfiguration(), version, patches: [] },
      "store",
    );
  return { activate, holder, updater };
}

// One copy that could not be used blocked its version from everywhere, and all
// versions before it.
test("a rejected copy blocks neither another version nor another peer's copy, nor the store's", () => {
  const { activate, holder, updater } = createBench();
  updater.rejectCopy({ incarnation: "one", version: 7 }, INVALID);
  assert.not(updater.isCandidate({ incarnation: "one", version: 7 }));
  assert.ok(updater.isCandidate({ incarnation: "one", version: 6 }));
  assert.ok(updater.isCandidate({ incarnation: "one", version: 8 }));
  assert.ok(updater.isCandidate({ incarnation: "two", version: 7 }));
  updater.rejectStored(
    { version: Number.MAX_SAFE_INTEGER, revision: 1 },
    INVALID,
  );
  assert.ok(updater.isCandidate({ incarnation: "two", version: 7 }));
  assert.ok(activate(7));
  assert.is(holder.version, 7);
});

test("after the copies of three peers were rejected, no other copy of the version is fetched", () => {
  const { updater } = createBench();
  for (const incarnation of ["one", "two", "three"]) {
    assert.ok(updater.isCandidate({ incarnation, version: 7 }));
    updater.rejectCopy({ incarnation, version: 7 }, INVALID);
  }
  assert.not(updater.isCandidate({ incarnation: "four", version: 7 }));
  assert.ok(updater.isCandidate({ incarnation: "four", version: 8 }));
});

test.run();
