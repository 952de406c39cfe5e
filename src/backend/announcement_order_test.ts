import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Announcement } from "../generated/types.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { BackendRegistry } from "./backend_registry.ts";

/** Interval of the announcements of a sound server, in milliseconds. */
const INTERVAL_MS = 1_500;

/** A sound server, and what another writer claims. */
function createVm() {
  const clock = new ManualClock();
  const registry = new BackendRegistry(clock, 12_000);
  const bornMs = clock.nowMs() - 60_000;
  let sequence = 40;
  const describe = (changes: Partial<Announcement> = {}): Announcement => ({
    ...{ service: "stock", port: 7200, slots: 8, connections: 48 },
    ...{ reportsLoad: true, coldStartMs: 0, instanceId: "i-1" },
    ...{ startedAtMs: bornMs, sequence, ...changes },
  });
  /** Lets the sound server announce itself in its time. */
  const renew = (count = 1) => {
    for (let index = 0; index < count; index += 1) {
      clock.advance(INTERVAL_MS);
      sequence += 1;
      registry.announce(describe());
    }
  };
  const isSoundUsed = () =>
    registry.state === "serving" &&
    registry.announcement?.instanceId === "i-1" &&
    registry.announcement.startedAtMs === bornMs;
  renew();
  return { clock, registry, bornMs, describe, renew, isSoundUsed };
}

const CLAIMS: Readonly<Record<string, (bornMs: number) => object>> = {
  "a sequence that no sender reaches": () => ({
    sequence: Number.MAX_SAFE_INTEGER,
  }),
  "a somewhat higher sequence": () => ({ sequence: 1_000 }),
  "a later start under the same id": (bornMs) => ({
    startedAtMs: bornMs + 1_000,
  }),
  "a later start under another id": (bornMs) => ({
    ...{ instanceId: "i-2", startedAtMs: bornMs + 1_000 },
  }),
  "a start in the future": (bornMs) => ({ startedAtMs: bornMs + 3_600_000 }),
  "a start in the future and another service": (bornMs) => ({
    ...{ startedAtMs: bornMs + 3_600_000, service: "nowhere" },
  }),
};

for (const [name, createClaim] of Object.entries(CLAIMS)) {
  // Guards against one entry of another writer that shuts a server out for as long as it lives.
  test(`a server outlasts a claim with ${name}`, () => {
    const { bornMs, describe, registry, renew, isSoundUsed } = createVm();
    registry.announce(describe(createClaim(bornMs)));
    renew(2);
    assert.ok(isSoundUsed());
    registry.announce(describe(createClaim(bornMs)));
    renew(2);
    assert.ok(isSoundUsed());
  });
}

// Guards against a server that is shut out since another writer said that a later one under its id drains.
test("a server outlasts a claim that a later one drains", () => {
  const { bornMs, describe, registry, renew, isSoundUsed } = createVm();
  const claim = describe({ startedAtMs: bornMs + 1_000 });
  registry.announce(claim);
  registry.leave(claim);
  renew(2);
  assert.ok(isSoundUsed());
});

test("a refuted claim needs a proof of its own", () => {
  const { bornMs, clock, describe, registry, renew, isSoundUsed } = createVm();
  const later = { startedAtMs: bornMs + 1_000 };
  registry.announce(describe({ ...later, sequence: 1 }));
  renew(2);
  registry.announce(describe({ ...later, sequence: 2 }));
  assert.ok(isSoundUsed());
  clock.advance(INTERVAL_MS);
  registry.announce(describe({ ...later, sequence: 3 }));
  assert.not(isSoundUsed());
});

test("late announcements of an earlier server do not bring it back beside the one that is there", () => {
  const { bornMs, clock, describe, registry } = createVm();
  const next = { instanceId: "i-2", startedAtMs: bornMs + 30_000 };
  for (let sequence = 1; sequence < 8; sequence += 1) {
    registry.announce(describe({ ...next, sequence }));
    clock.advance(INTERVAL_MS / 2);
    registry.announce(describe({ sequence: 50 + sequence }));
    assert.is(registry.announcement?.instanceId, "i-2");
    clock.advance(INTERVAL_MS / 2);
  }
});

test("late announcements of an earlier server that arrive together do not bring it back", () => {
  const { bornMs, describe, registry } = createVm();
  registry.announce(
    describe({ instanceId: "i-2", startedAtMs: bornMs + 30_000, sequence: 1 }),
  );
  for (let sequence = 50; sequence < 60; sequence += 1) {
    registry.announce(describe({ sequence }));
  }
  assert.is(registry.announcement?.instanceId, "i-2");
});

test("late announcements of a server that left never bring it back", () => {
  const { registry, renew } = createVm();
  registry.leave({ instanceId: "i-1" });
  renew(4);
  assert.is(registry.state, "leaving");
});

// Guards against a server that is never used, since the clock was set back between two starts.
test("a server whose clock was set back is used after its second announcement", () => {
  const { bornMs, clock, describe, registry } = createVm();
  const restarted = { instanceId: "i-2", startedAtMs: bornMs - 5_000 };
  registry.announce(describe({ ...restarted, sequence: 1 }));
  assert.is(registry.announcement?.instanceId, "i-1");
  clock.advance(INTERVAL_MS);
  registry.announce(describe({ ...restarted, sequence: 2 }));
  assert.is(registry.announcement?.instanceId, "i-2");
});

test.run();
