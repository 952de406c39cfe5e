import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PortState } from "../backend/mod.ts";
import { advanceInSteps } from "../testing/advance_in_steps.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { CrashDetector } from "./crash_detector.ts";

const SERVER = "instance-1/1000";
const NEXT_SERVER = "instance-2/2000";
const STEP_MS = 5;
/** Time after which the port has been probed, in milliseconds. */
const JUDGED_MS = 100;

function createDetector(port: PortState) {
  const clock = new ManualClock();
  const crashes: { serverId: string; calls: readonly string[] }[] = [];
  const probes: number[] = [];
  const detector = new CrashDetector<string>({
    clock,
    probePort: () => {
      probes.push(clock.monotonicMs());
      return Promise.resolve(port);
    },
    report: (crash) => crashes.push(crash),
  });
  const wait = (durationMs: number) =>
    advanceInSteps(clock, durationMs, STEP_MS);
  return { detector, crashes, probes, wait };
}

test("a server whose connections all break and whose port refuses has ended under its calls", async () => {
  const { detector, crashes, wait } = createDetector("refused");
  const runs = ["a", "b", "c"].map((call) => detector.begin(SERVER, call));
  const [first, ...others] = runs;
  const answered = detector.begin(SERVER, "answered");
  void detector.finish(answered);
  for (const run of others) {
    void detector.finish(run, "broken");
  }
  void (first && detector.finish(first, "broken"));
  await wait(JUDGED_MS);
  assert.equal(crashes, [{ serverId: SERVER, calls: ["a", "b", "c"] }]);
});

test("a broken run is settled once the port was probed", async () => {
  const { detector, crashes, wait } = createDetector("refused");
  const run = detector.begin(SERVER, "a");
  let isSettled = false;
  void detector.finish(run, "broken").then(() => isSettled = true);
  await wait(0);
  assert.is(isSettled, false);
  await wait(JUDGED_MS);
  assert.is(isSettled, true);
  assert.is(crashes.length, 1);
});

test("a refused connection tells at once that the server has ended under the broken calls", () => {
  const { detector, crashes } = createDetector("open");
  const broken = detector.begin(SERVER, "a");
  const refused = detector.begin(SERVER, "b");
  void detector.finish(broken, "broken");
  void detector.finish(refused, "refused");
  assert.equal(crashes, [{ serverId: SERVER, calls: ["a"] }]);
});

test("a single broken connection beside running calls is no end, and the port is not probed", async () => {
  const { detector, crashes, probes, wait } = createDetector("refused");
  detector.begin(SERVER, "still running");
  void detector.finish(detector.begin(SERVER, "a"), "broken");
  await wait(JUDGED_MS);
  assert.equal(crashes, []);
  assert.equal(probes, []);
});

test("a server whose port is open has not ended, unless another process announces itself", async () => {
  for (
    const [announced, expected] of [[SERVER, 0], [NEXT_SERVER, 1]] as const
  ) {
    const { detector, crashes, wait } = createDetector("open");
    void detector.finish(detector.begin(SERVER, "a"), "broken");
    await wait(JUDGED_MS);
    assert.is(crashes.length, 0);
    detector.observeServer(announced);
    assert.is(crashes.length, expected, announced);
    detector.observeServer(NEXT_SERVER);
    assert.is(crashes.length, expected, announced);
  }
});

test("a response that breaks off long before a server is replaced is not counted to its end", async () => {
  const { detector, crashes, wait } = createDetector("open");
  void detector.finish(detector.begin(SERVER, "a"), "broken");
  await wait(20_000);
  detector.observeServer(NEXT_SERVER);
  assert.equal(crashes, []);
});

test("calls that break one after the other are counted to the end that an announcement tells", async () => {
  const { detector, crashes, wait } = createDetector("open");
  void detector.finish(detector.begin(SERVER, "a"), "broken");
  await wait(JUDGED_MS);
  void detector.finish(detector.begin(SERVER, "b"), "broken");
  await wait(JUDGED_MS);
  detector.observeServer(NEXT_SERVER);
  assert.equal(crashes, [{ serverId: SERVER, calls: ["a", "b"] }]);
});

test("aborted calls are not counted to the end of their server", async () => {
  const { detector, crashes, wait } = createDetector("refused");
  const aborted = detector.begin(SERVER, "aborted");
  const broken = detector.begin(SERVER, "a");
  void detector.finish(aborted);
  void detector.finish(broken, "broken");
  await wait(JUDGED_MS);
  assert.equal(crashes, [{ serverId: SERVER, calls: ["a"] }]);
});

test.run();
