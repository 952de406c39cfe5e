import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { HeartbeatMonitor } from "./heartbeat_monitor.ts";

const TICK_MS = 250;

function createMonitor() {
  const clock = new ManualClock();
  return { clock, monitor: new HeartbeatMonitor(clock, TICK_MS) };
}

test("measures silence from the first unanswered heartbeat", () => {
  const { clock, monitor } = createMonitor();
  clock.advance(TICK_MS);
  assert.is(monitor.silenceMs, 0);
  monitor.recordHeartbeatSent();
  clock.advance(TICK_MS);
  monitor.recordHeartbeatSent();
  clock.advance(TICK_MS);
  assert.is(monitor.silenceMs, 2 * TICK_MS);
  monitor.recordReceived();
  assert.is(monitor.silenceMs, 0);
});

test("restarts the measurement after this daemon was paused", () => {
  const { clock, monitor } = createMonitor();
  monitor.tick();
  monitor.recordHeartbeatSent();
  clock.advance(30_000);
  monitor.tick();
  assert.is(monitor.silenceMs, 0);
  clock.advance(TICK_MS);
  monitor.tick();
  assert.is(monitor.silenceMs, TICK_MS);
});

test.run();
