import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSilentLogger, DecisionJournal } from "../telemetry/mod.ts";
import { advanceInSteps } from "../testing/advance_in_steps.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryStore } from "../testing/memory_store.ts";
import { RandomSource } from "../time/mod.ts";
import { ConfigurationCopy } from "./configuration_copy.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";
import { ConfigurationProgress } from "./configuration_progress.ts";
import { ConfigurationUpdater } from "./configuration_updater.ts";
import { describeRefusedVersion } from "./refused_version.ts";
import type { RefusedVersion } from "./refused_version.ts";

const test = suite("copies of configurations");

function createRefusal(version: number, revision: number): RefusedVersion {
  const copy = { version, revision, source: "store", peer: "" } as const;
  return describeRefusedVersion(copy, new Error("invalid"));
}

/** A daemon with an active version, 0 for none, at a store that several may share. */
function createDaemon(
  activeVersion: number,
  store = new MemoryStore(),
  clock = new ManualClock(),
) {
  const holder = new ConfigurationHolder();
  if (activeVersion > 0) {
    holder.replaceIfNewer(createTestConfiguration(), activeVersion);
  }
  const log = createSilentLogger();
  const options = { holder, clock, log, journal: new DecisionJournal(clock) };
  const progress = new ConfigurationProgress(options);
  const updater = new ConfigurationUpdater({
    ...{ ...options, progress },
    announce: () => undefined,
  });
  const copy = new ConfigurationCopy({
    ...{ ...options, store, updater, progress, random: new RandomSource(5) },
  });
  const advance = () => advanceInSteps(clock, 60_000, 100);
  const save = async (refused: RefusedVersion) => {
    const saved = copy.save(refused);
    await advance();
    await saved;
  };
  const load = async (refused: RefusedVersion, hasPeers = false) => {
    await advance();
    progress.recordRefusal(refused);
    await copy.loadIfNeeded(hasPeers);
    return holder.version;
  };
  return { holder, load, save, store };
}

test("a started daemon activates the copy for the object that it refuses, and no other one", async () => {
  const { save, store } = createDaemon(21);
  await save(createRefusal(22, 7));
  assert.is(await createDaemon(0, store).load(createRefusal(22, 7)), 21);
  assert.is(await createDaemon(0, store).load(createRefusal(22, 8)), 0);
  assert.is(await createDaemon(0, store).load(createRefusal(23, 7)), 0);
  assert.is(await createDaemon(0, store).load(createRefusal(22, 7), true), 0);
  assert.is(await createDaemon(20, store).load(createRefusal(22, 7)), 20);
});

// A daemon that is behind would replace what the others had by something older.
// Guards against a fleet that does not start, since the store holds an object whose version can't be read.
test("the copy for an object without a version is that of the active configuration", async () => {
  const { save, store } = createDaemon(21);
  await save(createRefusal(0, 7));
  assert.is(await createDaemon(0, store).load(createRefusal(0, 7)), 21);
  assert.is(await createDaemon(0, store).load(createRefusal(0, 8)), 0);
});

test("a lower version never replaces a higher copy, and a higher one replaces a lower", async () => {
  const refused = createRefusal(23, 9);
  const { save, store } = createDaemon(21);
  await save(refused);
  await createDaemon(20, store).save(refused);
  assert.is(await createDaemon(0, store).load(refused), 21);
  await createDaemon(22, store).save(refused);
  assert.is(await createDaemon(0, store).load(refused), 22);
});

test("a refused version costs one write over the fleet, and a version that is activated meanwhile costs none", async () => {
  const { holder, save, store } = createDaemon(21);
  await save(createRefusal(22, 7));
  await createDaemon(21, store).save(createRefusal(22, 7));
  assert.is(store.writes, 1);
  holder.replaceIfNewer(createTestConfiguration(), 23);
  await save(createRefusal(22, 7));
  assert.is(store.writes, 1);
  await save(createRefusal(24, 8));
  assert.is(store.writes, 2);
});

test.run();
