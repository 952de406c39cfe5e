import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationUpdater } from "./configuration_updater.ts";

const test = suite("configuration updater");

function createBench() {
  const holder = new ConfigurationHolder();
  const updater = new ConfigurationUpdater({
    holder,
    log: createSilentLogger(),
    journal: new DecisionJournal(new ManualClock()),
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
  updater.rejectCopy({ incarnation: "one", version: 7 }, "invalid");
  assert.not(updater.isCandidate({ incarnation: "one", version: 7 }));
  assert.ok(updater.isCandidate({ incarnation: "one", version: 6 }));
  assert.ok(updater.isCandidate({ incarnation: "one", version: 8 }));
  assert.ok(updater.isCandidate({ incarnation: "two", version: 7 }));
  updater.rejectStored(Number.MAX_SAFE_INTEGER, "invalid");
  assert.ok(updater.isCandidate({ incarnation: "two", version: 7 }));
  assert.ok(activate(7));
  assert.is(holder.version, 7);
});

test("after the copies of three peers were rejected, no other copy of the version is fetched", () => {
  const { updater } = createBench();
  for (const incarnation of ["one", "two", "three"]) {
    assert.ok(updater.isCandidate({ incarnation, version: 7 }));
    updater.rejectCopy({ incarnation, version: 7 }, "invalid");
  }
  assert.not(updater.isCandidate({ incarnation: "four", version: 7 }));
  assert.ok(updater.isCandidate({ incarnation: "four", version: 8 }));
});

test.run();
