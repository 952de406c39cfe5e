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

// A busy daemon runs its ticks late, before it has read the replies that wait in its sockets.
for (const lateMs of [100, 400, 700, 900]) {
  test(`a tick that is ${lateMs} ms late does not count as silence of the peer`, () => {
    const { clock, monitor } = createMonitor();
    monitor.tick();
    monitor.recordHeartbeatSent();
    clock.advance(TICK_MS + lateMs);
    monitor.tick();
    assert.ok(monitor.silenceMs <= TICK_MS, `silence ${monitor.silenceMs}`);
  });
}

test.run();
