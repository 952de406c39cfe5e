import { test } from "uvu";
import * as assert from "uvu/assert";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { Fingerprinter } from "./fingerprinter.ts";
import { Quarantine } from "./quarantine.ts";
import type { IdentifiedCall } from "./request_identity.ts";
import type { RequestNotice } from "./request_notice.ts";

const NO_BODY = new Uint8Array(0);
const MINUTE_MS = 60_000;

function createCall(
  path: string,
  changes: Partial<IdentifiedCall> = {},
): IdentifiedCall {
  return {
    ...{ method: "GET", path, service: "stock", body: NO_BODY },
    context: { depth: 0, member: "", tenant: "other" },
    ...changes,
  };
}

/** Daemons that hear each other's notices at once. */
function createDaemons(count: number, clock = new ManualClock()) {
  const daemons: Quarantine[] = [];
  let noticeCount = 0;
  for (let index = 0; index < count; index += 1) {
    daemons.push(
      new Quarantine({
        clock,
        fingerprinter: new Fingerprinter("secret"),
        journal: new DecisionJournal(clock),
        metrics: new DaemonMetrics(),
        publish: (notice: RequestNotice) => {
          noticeCount += 1;
          daemons.filter((_, other) => other !== index)
            .forEach((daemon) => daemon.receive(notice));
        },
      }),
    );
  }
  let crashCount = 0;
  return {
    clock,
    daemons,
    readNoticeCount: () => noticeCount,
    crash: (index: number, paths: readonly string[]) => {
      crashCount += 1;
      daemons[index]?.recordCrash({
        processId: `process-${crashCount}`,
        vmAddress: `10.0.0.${index}`,
        service: "stock",
        calls: paths.map((path) => createCall(path)),
      });
    },
  };
}

function countRefusing(daemons: readonly Quarantine[], path: string): number {
  return daemons.filter((daemon) => daemon.check(createCall(path))).length;
}

test("all daemons refuse a request under which three servers have ended, and no other", () => {
  const { clock, daemons, crash } = createDaemons(4);
  [0, 1, 2].forEach((index) => {
    assert.is(countRefusing(daemons, "/crash"), 0);
    crash(index, [`/other-${index}`, "/crash"]);
    clock.advance(300);
  });
  assert.is(countRefusing(daemons, "/crash"), 4);
  assert.is(countRefusing(daemons, "/other-0"), 0);
  const crashing = createCall("/crash");
  const otherBody = { body: new Uint8Array([1]) };
  assert.is(daemons[3]?.check({ ...crashing, ...otherBody }), undefined);
});

test("a refusal tells when the request may return", () => {
  const { clock, daemons, crash } = createDaemons(1);
  [0, 1, 2].forEach(() => {
    crash(0, ["/crash"]);
    clock.advance(MINUTE_MS);
  });
  const refusal = daemons[0]?.check(createCall("/crash"));
  assert.is(refusal?.reason, "quarantined");
  assert.is(refusal?.retryAfterMs, 7 * MINUTE_MS);
  clock.advance(7 * MINUTE_MS);
  assert.is(countRefusing(daemons, "/crash"), 0);
});

test("a call is not retried after the second crash under its request", () => {
  const { daemons, crash } = createDaemons(2);
  crash(0, ["/crash"]);
  assert.is(daemons[1]?.deniesRetry(createCall("/crash")), false);
  crash(1, ["/crash"]);
  assert.is(daemons[0]?.deniesRetry(createCall("/crash")), true);
  assert.is(daemons[0]?.deniesRetry(createCall("/other")), false);
});

test("nothing is published for a request that is not suspected", () => {
  const { daemons, crash, readNoticeCount } = createDaemons(2);
  daemons[0]?.recordCleanRun(createCall("/popular"));
  assert.is(readNoticeCount(), 0);
  crash(0, ["/popular"]);
  daemons[0]?.recordCleanRun(createCall("/popular"));
  assert.is(readNoticeCount(), 1);
});

test("a request that had run cleanly is not blamed if all servers end at once", () => {
  const { clock, daemons, crash } = createDaemons(6);
  daemons.forEach((daemon) => daemon.recordCleanRun(createCall("/popular")));
  clock.advance(100);
  daemons.forEach((_, index) => crash(index, ["/popular", `/${index}`]));
  assert.is(countRefusing(daemons, "/popular"), 0);
});

test("a request that had run cleanly and then crashes servers is blamed", () => {
  const { clock, daemons, crash } = createDaemons(6);
  daemons.forEach((daemon) => daemon.recordCleanRun(createCall("/changed")));
  clock.advance(2_000);
  [0, 1, 2].forEach((index) => {
    crash(index, ["/changed"]);
    clock.advance(50);
  });
  assert.is(countRefusing(daemons, "/changed"), 6);
});

test("an operator releases a request everywhere, and three more crashes quarantine it again", () => {
  const { clock, daemons, crash } = createDaemons(3);
  [0, 1, 2].forEach((index) => crash(index, ["/crash"]));
  const [suspect] = daemons[1]?.list() ?? [];
  assert.is(suspect?.crashes.length, 3);
  assert.is(daemons[1]?.release(suspect?.fingerprint ?? ""), true);
  assert.is(daemons[1]?.release(suspect?.fingerprint ?? ""), false);
  assert.is(countRefusing(daemons, "/crash"), 0);
  assert.equal(daemons[2]?.list(), []);
  clock.advance(5_000);
  [0, 1, 2].forEach((index) => crash(index, ["/crash"]));
  assert.is(countRefusing(daemons, "/crash"), 3);
});

test("of many calls that ran, those that began last are held against the crash", () => {
  const { daemons, crash } = createDaemons(1);
  const paths = Array.from({ length: 100 }, (_, index) => `/${index}`);
  [0, 1, 2].forEach(() => crash(0, paths));
  assert.is(countRefusing(daemons, "/99"), 1);
  assert.is(countRefusing(daemons, "/36"), 1);
  assert.is(countRefusing(daemons, "/35"), 0);
});

for (let seed = 1; seed <= 10; seed += 1) {
  // Guards against blaming a request for crashes that it only witnessed.
  test(`two minutes of crashes every 0.7 s blame no request that comes 60 times a second (seed ${seed})`, () => {
    const random = new RandomSource(seed);
    const { clock, daemons, crash } = createDaemons(12);
    const intervalMs = 1_000 / 60;
    let nextCrashMs = 700;
    for (let atMs = 0; atMs < 2 * MINUTE_MS; atMs += intervalMs) {
      clock.advance(intervalMs);
      const index = random.nextInteger(daemons.length);
      assert.is(countRefusing(daemons.slice(index, index + 1), "/popular"), 0);
      if (atMs >= nextCrashMs) {
        nextCrashMs += 700;
        crash(index, ["/popular", `/other-${atMs}`]);
      } else {
        daemons[index]?.recordCleanRun(createCall("/popular"));
      }
    }
  });
}

test.run();
