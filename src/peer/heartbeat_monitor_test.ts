import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { HeartbeatMonitor } from "./heartbeat_monitor.ts";

const TICK_MS = 250;

function createDetector() {
  const clock = new ManualClock();
  return { clock, detector: new HeartbeatMonitor(clock, TICK_MS) };
}

test("silence counts from the first unanswered heartbeat", () => {
  const { clock, detector } = createDetector();
  clock.advance(TICK_MS);
  assert.is(detector.silenceMs, 0);
  detector.noteAsked();
  clock.advance(TICK_MS);
  detector.noteAsked();
  clock.advance(TICK_MS);
  assert.is(detector.silenceMs, 2 * TICK_MS);
  detector.noteHeard();
  assert.is(detector.silenceMs, 0);
});

test("a daemon that was paused does not blame its peer", () => {
  const { clock, detector } = createDetector();
  detector.tick();
  detector.noteAsked();
  clock.advance(30_000);
  detector.tick();
  assert.is(detector.silenceMs, 0);
  clock.advance(TICK_MS);
  detector.tick();
  assert.is(detector.silenceMs, TICK_MS);
});

test.run();
