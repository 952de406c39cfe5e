import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createSilentLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../telemetry/mod.ts";
import { advanceInSteps } from "../testing/advance_in_steps.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryStore } from "../testing/memory_store.ts";
import { NO_VERSION } from "../store/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { CRASH_RETENTION_MS } from "./crash_table.ts";
import { Fingerprinter } from "./fingerprinter.ts";
import { Quarantine } from "./quarantine.ts";
import { QuarantineArchive } from "./quarantine_archive.ts";
import type { IdentifiedCall } from "./request_identity.ts";

const STORE_KEY = "quarantine/requests";
const STEP_MS = 50;
/** Time within which a daemon reads and writes the store if it answers, in milliseconds. */
const SETTLED_MS = 2_000;

function createCall(path: string): IdentifiedCall {
  return {
    ...{ method: "GET", path, service: "stock", body: new Uint8Array(0) },
    context: { depth: 0, member: "", tenant: "other" },
  };
}

function createSite() {
  const clock = new ManualClock();
  const store = new MemoryStore();
  let seed = 0;
  let crashCount = 0;
  const startDaemon = (address: string) => {
    seed += 1;
    const quarantine = new Quarantine({
      clock,
      fingerprinter: new Fingerprinter("secret"),
      journal: new DecisionJournal(clock),
      metrics: new DaemonMetrics(),
      publish: () => undefined,
    });
    const archive = new QuarantineArchive({
      ...{ store, quarantine, clock, self: { address } },
      random: new RandomSource(seed),
      log: createSilentLogger(),
    });
    void archive.load();
    return { address, quarantine, archive };
  };
  return {
    ...{ clock, store, startDaemon },
    wait: (durationMs = SETTLED_MS) =>
      advanceInSteps(clock, durationMs, STEP_MS),
    crash: (
      { address, quarantine }: ReturnType<typeof startDaemon>,
      path: string,
      count = 3,
    ) => {
      for (let index = 0; index < count; index += 1) {
        crashCount += 1;
        quarantine.recordCrash({
          processId: `process-${crashCount}`,
          vmAddress: address,
          service: "stock",
          calls: [createCall(path)],
        });
      }
    },
  };
}

function refuses({ quarantine }: { quarantine: Quarantine }, path: string) {
  return quarantine.check(createCall(path)) !== undefined;
}

test("a daemon that starts after all others have ended refuses what they refused", async () => {
  const { crash, startDaemon, wait } = createSite();
  const first = startDaemon("10.0.0.1");
  await wait();
  crash(first, "/crash");
  crash(first, "/other", 2);
  await wait();
  const second = startDaemon("10.0.0.2");
  await wait();
  assert.is(refuses(second, "/crash"), true);
  assert.is(refuses(second, "/other"), false);
});

test("what two daemons write at the same time is kept", async () => {
  const { crash, startDaemon, wait } = createSite();
  const daemons = ["10.0.0.1", "10.0.0.2"].map(startDaemon);
  await wait();
  daemons.forEach((daemon, index) => crash(daemon, `/crash-${index}`));
  await wait(SETTLED_MS * 2);
  const later = startDaemon("10.0.0.3");
  await wait();
  assert.is(refuses(later, "/crash-0"), true);
  assert.is(refuses(later, "/crash-1"), true);
});

test("a released request is not brought back, and an expired one leaves the store", async () => {
  const { crash, clock, startDaemon, store, wait } = createSite();
  const first = startDaemon("10.0.0.1");
  await wait();
  crash(first, "/crash");
  await wait();
  const [suspect] = first.quarantine.list();
  first.quarantine.release(suspect?.fingerprint ?? "");
  await wait();
  const second = startDaemon("10.0.0.2");
  await wait();
  assert.is(refuses(second, "/crash"), false);
  crash(second, "/old");
  await wait();
  clock.advance(CRASH_RETENTION_MS);
  crash(second, "/new");
  await wait();
  const stored = await store.read(STORE_KEY);
  const { requests } = stored.unwrapOr(undefined)?.value as {
    requests: unknown[];
  };
  assert.is(requests.length, 1);
});

test("a store that is away delays the read and the write, and nothing is lost", async () => {
  const { crash, startDaemon, store, wait } = createSite();
  store.isDown = true;
  const first = startDaemon("10.0.0.1");
  await wait();
  crash(first, "/crash");
  const second = startDaemon("10.0.0.2");
  await wait(10_000);
  store.isDown = false;
  await wait(60_000);
  const third = startDaemon("10.0.0.3");
  await wait();
  assert.is(refuses(third, "/crash"), true);
  assert.is(refuses(second, "/crash"), true);
});

test("an object that another writer has spoilt names no request and is replaced", async () => {
  const { crash, startDaemon, store, wait } = createSite();
  const spoilt = { requests: [null, 7, { fingerprint: "a", crashes: [{}] }] };
  await store.write(STORE_KEY, spoilt, NO_VERSION);
  const first = startDaemon("10.0.0.1");
  await wait();
  assert.equal(first.quarantine.list(), []);
  crash(first, "/crash");
  await wait();
  const second = startDaemon("10.0.0.2");
  await wait();
  assert.is(refuses(second, "/crash"), true);
});

// Guards against entries of another writer that never expire and take the places of all others.
test("requests whose crashes lie in the far future are left out", async () => {
  const { crash, startDaemon, store, wait } = createSite();
  const atMs = Number.MAX_SAFE_INTEGER;
  const requests = Array.from({ length: 64 }, (_, index) => ({
    fingerprint: `odd-${index}`,
    crashes: [1, 2, 3].map((process) => ({
      ...{ processId: `p-${process}`, vmAddress: "10.0.0.9" },
      ...{ service: "stock", atMs, callCount: 1 },
    })),
  }));
  await store.write(STORE_KEY, { requests }, NO_VERSION);
  const first = startDaemon("10.0.0.1");
  await wait();
  assert.equal(first.quarantine.list(), []);
  crash(first, "/crash");
  await wait();
  const second = startDaemon("10.0.0.2");
  await wait();
  assert.is(refuses(second, "/crash"), true);
});

test("without a quarantine a daemon reads once and writes nothing", async () => {
  const { startDaemon, store, wait } = createSite();
  startDaemon("10.0.0.1");
  await wait(60_000);
  assert.is(store.reads, 1);
  assert.is(store.writes, 0);
});

test.run();
