import * as assert from "uvu/assert";
import { test } from "uvu";
import { ANNOUNCEMENT_TIMEOUT_MS } from "../constants/mod.ts";
import type { Announcement } from "../generated/types.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { BACKEND_STATES, BackendRegistry } from "./backend_registry.ts";

function createAnnouncement(changes: Partial<Announcement> = {}): Announcement {
  return {
    service: "stock",
    port: 7200,
    slots: 8,
    connections: 48,
    reportsLoad: true,
    coldStartMs: 0,
    inFlight: 0,
    ...changes,
  };
}

function createRegistry() {
  const clock = new ManualClock();
  const registry = new BackendRegistry(clock);
  registry.announce(createAnnouncement());
  return { clock, registry };
}

test("a late renewal does not revert the leaving state", () => {
  const { clock, registry } = createRegistry();
  registry.leave();
  clock.advance(1_000);
  registry.announce(createAnnouncement());
  assert.is(registry.state, "leaving");
});

test("accepts the replacement of a backend server that has left", () => {
  const { clock, registry } = createRegistry();
  registry.leave();
  clock.advance(ANNOUNCEMENT_TIMEOUT_MS + 1);
  registry.announce(createAnnouncement());
  assert.is(registry.state, "serving");
});

test("accepts a replacement on another port immediately", () => {
  const { registry } = createRegistry();
  registry.leave();
  registry.announce(createAnnouncement({ port: 7201 }));
  assert.is(registry.state, "serving");
});

test("a drain persists through announcements until it is reverted", () => {
  const { clock, registry } = createRegistry();
  registry.drain();
  clock.advance(2 * ANNOUNCEMENT_TIMEOUT_MS);
  registry.announce(createAnnouncement({ port: 7201 }));
  assert.is(registry.state, "leaving");
  registry.undrain();
  assert.is(registry.state, "serving");
});

test("the end of a drain does not revert the leaving of the backend server", () => {
  const { registry } = createRegistry();
  registry.drain();
  registry.leave();
  registry.undrain();
  assert.is(registry.state, "leaving");
});

test("a backend server that refuses connections is absent until it announces itself again", () => {
  const { registry } = createRegistry();
  let changes = 0;
  registry.subscribe(() => changes += 1);
  registry.markUnreachable();
  registry.markUnreachable();
  assert.is(registry.state, "absent");
  assert.is(changes, 1);
  registry.announce(createAnnouncement());
  assert.is(registry.state, "serving");
});

test("a leaving backend server stays leaving when it refuses connections", () => {
  const { registry } = createRegistry();
  registry.leave();
  registry.markUnreachable();
  assert.is(registry.state, "leaving");
});

function createSequencedAnnouncement(
  startedAtMs: number,
  sequence: number,
): Announcement {
  return {
    ...createAnnouncement(),
    ...{ instanceId: "instance-1", startedAtMs, sequence },
  };
}

test("ignores a delayed announcement from an earlier process", () => {
  const { registry } = createRegistry();
  registry.announce(createSequencedAnnouncement(2_000, 1));
  registry.leave({ instanceId: "instance-1", startedAtMs: 2_000 });
  registry.announce(createSequencedAnnouncement(1_000, 99));
  assert.is(registry.state, "leaving");
  assert.is(registry.announcement?.startedAtMs, 2_000);
});

test("ignores an outdated announcement and accepts a restart under the same id", () => {
  const { registry } = createRegistry();
  registry.announce(createSequencedAnnouncement(2_000, 5));
  registry.announce({ ...createSequencedAnnouncement(2_000, 4), slots: 1 });
  assert.is.not(registry.announcement?.slots, 1);
  registry.leave({ instanceId: "instance-1" });
  registry.announce(createSequencedAnnouncement(2_000, 6));
  assert.is(registry.state, "leaving");
  registry.announce(createSequencedAnnouncement(3_000, 1));
  assert.is(registry.state, "serving");
});

test("ignores a leave from another process", () => {
  const { registry } = createRegistry();
  registry.announce(createSequencedAnnouncement(2_000, 1));
  registry.leave({ instanceId: "instance-2" });
  registry.leave({ instanceId: "instance-1", startedAtMs: 1_000 });
  assert.is(registry.state, "serving");
});

// A daemon that had just started took a delayed announcement of a server that it had acknowledged as gone.
test("an announcement that arrives after its server left is ignored, also if it is the first one", () => {
  const clock = new ManualClock();
  const registry = new BackendRegistry(clock);
  registry.leave({ instanceId: "i-1" });
  const instanceId = "i-1";
  const startedAtMs = clock.nowMs() - 60_000;
  registry.announce(
    createAnnouncement({ instanceId, startedAtMs, sequence: 40 }),
  );
  assert.is(registry.state, BACKEND_STATES.absent);
  clock.advance(5_000);
  registry.announce(createAnnouncement({
    ...{ instanceId, startedAtMs: clock.nowMs() - 100, sequence: 1 },
  }));
  assert.is(registry.state, BACKEND_STATES.serving);
});

test("a late word of leaving from an earlier process with the same id does not end renewals", () => {
  const clock = new ManualClock();
  const registry = new BackendRegistry(clock);
  const startedAtMs = clock.nowMs();
  const current = createAnnouncement({ instanceId: "i-1", startedAtMs });
  registry.announce({ ...current, sequence: 1 });
  registry.leave({ instanceId: "i-1", startedAtMs: startedAtMs - 60_000 });
  clock.advance(ANNOUNCEMENT_TIMEOUT_MS - 1);
  registry.announce({ ...current, sequence: 2 });
  clock.advance(ANNOUNCEMENT_TIMEOUT_MS - 1);
  assert.is(registry.state, BACKEND_STATES.serving);
});

// Guards against a server that stays in use because its late announcement came before the news that it has left.
test("a departure ends the use of a server under its id that started no later", () => {
  const clock = new ManualClock();
  const create = () => {
    const registry = new BackendRegistry(clock);
    registry.announce(
      createAnnouncement({ instanceId: "i-1", startedAtMs: 100, sequence: 5 }),
    );
    return registry;
  };
  const departure = { instanceId: "i-1", includesEarlier: true };
  const known = create();
  known.leave({ ...departure, startedAtMs: 200 });
  assert.is(known.state, "leaving");
  const later = create();
  later.leave({ ...departure, startedAtMs: 99 });
  assert.is(later.state, "serving");
  const other = create();
  other.leave({ instanceId: "i-1", startedAtMs: 200 });
  assert.is(other.state, "serving");
});

test.run();
