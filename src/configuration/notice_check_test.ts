import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DecisionJournal } from "../telemetry/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { createRecordingLogger } from "../testing/create_recording_logger.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import { NoticeCheck } from "./notice_check.ts";

/** Longer than the time over which the reads of a fleet are spread, in milliseconds. */
const SPREAD_MS = 20_000;

const test = suite("notice check");

/** A daemon without a configuration, whose reads find `latestVersion` in the store. */
function createBench() {
  const clock = new ManualClock();
  const holder = new ConfigurationHolder();
  const { log } = createRecordingLogger();
  const journal = new DecisionJournal(clock, log);
  const progress = new ConfigurationProgress({ holder, clock, log, journal });
  const random = new RandomSource(604);
  const check = new NoticeCheck({ clock, holder, progress, random });
  const hear = (version: number) =>
    check.hear({ kind: "refused-version", version, atMs: 0 });
  const readIfDue = (latestVersion: number): number => {
    clock.advance(SPREAD_MS);
    if (!check.take()) {
      return 0;
    }
    progress.recordStored(latestVersion);
    return 1;
  };
  return { hear, readIfDue };
}

test("a version that is heard of is read once within the spread", () => {
  const { hear, readIfDue } = createBench();
  hear(22);
  assert.is(readIfDue(22), 1);
  hear(22);
  assert.is(readIfDue(22), 0);
});

// Guards against a fleet that reads the store without end while an entry keeps more
// versions refused than are remembered: gossip repeats all of their notices.
test("notices of many versions do not cause further reads once the latest was read", () => {
  const { hear, readIfDue } = createBench();
  const versions = Array.from({ length: 100 }, (_, index) => index + 1);
  let reads = 0;
  for (let round = 0; round < 10; round += 1) {
    versions.forEach(hear);
    reads += readIfDue(100);
  }
  assert.is(reads, 1);
});

test("a version above the one in the store is read again", () => {
  const { hear, readIfDue } = createBench();
  hear(22);
  assert.is(readIfDue(22), 1);
  hear(29);
  assert.is(readIfDue(29), 1);
});

test.run();
