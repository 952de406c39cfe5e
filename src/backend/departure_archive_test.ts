import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Announcement } from "../generated/types.ts";
import { createSilentLogger } from "../telemetry/mod.ts";
import { advanceInSteps } from "../testing/advance_in_steps.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryStore } from "../testing/memory_store.ts";
import { RandomSource } from "../time/mod.ts";
import { BackendRegistry } from "./backend_registry.ts";
import { DepartureArchive } from "./departure_archive.ts";

const ADDRESS = "10.0.0.1";
const STORE_KEY = `departures/${ADDRESS}`;

/** Time within which a daemon reads and writes a store that answers, in milliseconds. */
const SETTLED_MS = 100;
const STEP_MS = 10;

/** Longest delay between two attempts, in milliseconds. */
const RETRIED_MS = 6_000;

const CONFIRMATION_WAIT_MS = 700;

function createVm() {
  const clock = new ManualClock();
  const store = new MemoryStore();
  const bornMs = clock.nowMs();
  const describe = (
    sequence: number,
    { instanceId = "i-1", startedAtMs = bornMs } = {},
  ): Announcement => ({
    ...{ service: "stock", port: 7200, slots: 8, connections: 48 },
    ...{ reportsLoad: true, coldStartMs: 0, instanceId },
    ...{ startedAtMs, sequence },
  });
  /** Starts a daemon, which knows nothing of the one before. */
  const start = () => {
    const backend = new BackendRegistry(clock);
    const archive = new DepartureArchive({
      ...{ store, backend, clock, address: ADDRESS },
      random: new RandomSource(1),
      log: createSilentLogger(),
    });
    void archive.load();
    return { backend, archive };
  };
  const wait = (durationMs = SETTLED_MS) =>
    advanceInSteps(clock, durationMs, STEP_MS);
  return { clock, store, bornMs, describe, start, wait };
}

// Guards against a server that has left and gets work again, since the end of all daemons has made them forget it.
test("a late announcement of a server that left is ignored by a daemon that knows nothing else", async () => {
  const { describe, start, wait } = createVm();
  const before = start();
  await wait();
  before.backend.announce(describe(1));
  const late = describe(2);
  before.backend.leave({ instanceId: "i-1" });
  await wait();
  before.archive.stop();
  const after = start();
  after.backend.announce(late);
  after.backend.announce(describe(3));
  assert.is(after.backend.state, "absent");
  await wait();
  after.backend.announce(describe(4));
  assert.is(after.backend.state, "absent");
});

test("a server that starts later under the id of one that left is used", async () => {
  const { bornMs, describe, start, wait } = createVm();
  const before = start();
  await wait();
  before.backend.announce(describe(1));
  before.backend.leave({ instanceId: "i-1" });
  await wait();
  const after = start();
  await wait();
  after.backend.announce(describe(0, { startedAtMs: bornMs + 1 }));
  assert.is(after.backend.state, "serving");
});

test("the confirmation of a departure waits until it is stored", async () => {
  const { describe, start, store, wait } = createVm();
  const { archive, backend } = start();
  await wait();
  backend.announce(describe(1));
  let isConfirmed = false;
  backend.leave({ instanceId: "i-1" });
  const confirmed = archive.waitUntilStored(CONFIRMATION_WAIT_MS)
    .then(() => isConfirmed = true);
  assert.not(isConfirmed);
  await confirmed;
  const stored = (await store.read(STORE_KEY))._unsafeUnwrap()?.value;
  assert.is((stored as { servers: object[] }).servers.length, 1);
});

test("a store that is down delays the confirmation for a bounded time, and gets the departure later", async () => {
  const { describe, start, store, wait } = createVm();
  const { archive, backend } = start();
  await wait();
  backend.announce(describe(1));
  store.isDown = true;
  let isConfirmed = false;
  backend.leave({ instanceId: "i-1" });
  void archive.waitUntilStored(CONFIRMATION_WAIT_MS)
    .then(() => isConfirmed = true);
  await wait(CONFIRMATION_WAIT_MS - STEP_MS);
  assert.not(isConfirmed);
  await wait(2 * STEP_MS);
  assert.ok(isConfirmed);
  store.isDown = false;
  await wait(RETRIED_MS);
  const after = start();
  await wait();
  after.backend.announce(describe(2));
  assert.is(after.backend.state, "absent");
});

test("while the store is down, a server counts from its next announcement in time on; repeated and delayed ones are none", async () => {
  const { describe, start, store, wait } = createVm();
  store.isDown = true;
  const { backend } = start();
  await wait();
  backend.announce(describe(5));
  backend.announce(describe(6));
  await wait(1_500);
  backend.announce(describe(5));
  assert.is(backend.state, "absent");
  backend.announce(describe(7));
  assert.is(backend.state, "serving");
});

test("the first announcement counts as soon as the store has answered", async () => {
  const { describe, start, wait } = createVm();
  const { backend } = start();
  backend.announce(describe(1));
  assert.is(backend.state, "absent");
  await wait();
  assert.is(backend.state, "serving");
});

test("a departure that a store returned from a copy lacks is written again", async () => {
  const { describe, start, store, wait } = createVm();
  const { backend } = start();
  await wait();
  backend.announce(describe(1));
  backend.leave({ instanceId: "i-1" });
  await wait();
  store.returnFromCopy();
  backend.announce(describe(2));
  backend.drain();
  await wait();
  assert.ok((await store.read(STORE_KEY))._unsafeUnwrap());
});

test("odd entries of another writer name no server, and the others hold", async () => {
  const { bornMs, describe, start, store, wait } = createVm();
  const servers = [
    ...[null, 7, "i-1", {}, [], { instanceId: 7, startedAtMs: bornMs }],
    ...[{ instanceId: "", startedAtMs: bornMs }, { instanceId: "i-1" }],
    { instanceId: "i-1", startedAtMs: "late" },
    { instanceId: "i-1", startedAtMs: -1 },
    { instanceId: "i-1", startedAtMs: 1e308 },
    { instanceId: "i-1", startedAtMs: Number.MAX_SAFE_INTEGER },
    { instanceId: "i-1", startedAtMs: 9e15, includesEarlier: true },
    { instanceId: "i-1", startedAtMs: bornMs, includesEarlier: "yes" },
    { instanceId: "i-2", startedAtMs: bornMs },
  ];
  await store.write(STORE_KEY, { servers }, { era: 0, revision: 0 });
  const { backend } = start();
  await wait();
  backend.announce(describe(1, { instanceId: "i-2" }));
  assert.is(backend.state, "absent");
  backend.announce(describe(1));
  assert.is(backend.state, "serving");
});

test("departures of several servers of a VM are kept beside each other, and those of another writer", async () => {
  const { bornMs, describe, start, store, wait } = createVm();
  const { backend } = start();
  await wait();
  backend.leave({ instanceId: "i-1", startedAtMs: bornMs });
  await wait();
  const other = { servers: [{ instanceId: "i-3", startedAtMs: bornMs }] };
  await store.write(STORE_KEY, other, { era: 1, revision: 1 });
  backend.leave({ instanceId: "i-2", startedAtMs: bornMs });
  await wait();
  const after = start();
  await wait();
  for (const instanceId of ["i-1", "i-2", "i-3"]) {
    after.backend.announce(describe(1, { instanceId }));
    assert.is(after.backend.state, "absent", instanceId);
  }
});

test.run();
