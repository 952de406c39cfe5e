import { test } from "uvu";
import * as assert from "uvu/assert";
import { BackendRegistry } from "../backend/mod.ts";
import type { GossipMembership } from "../membership/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { BackendFollower } from "./backend_follower.ts";

const STARTED_AT_MS = 1_769_576_915_086;
const INSTANCE_ID = "i-7f3a";

/** A follower of a server that was started at {@link STARTED_AT_MS}, and what it has told the members. */
function createFollower() {
  const clock = new ManualClock();
  const backend = new BackendRegistry(clock);
  backend.announce({
    ...{ service: "stock", port: 7200, slots: 8, connections: 48 },
    ...{ reportsLoad: true, coldStartMs: 0, inFlight: 0, sequence: 1 },
    ...{ instanceId: INSTANCE_ID, startedAtMs: STARTED_AT_MS },
  });
  const texts: string[] = [];
  const environment = {
    backend,
    backendClient: { hasStatements: false },
    inboundAdmission: { setCapacity() {}, setRequestRate() {} },
    journal: { record() {} },
    metrics: { clearServerLimit() {} },
  };
  const membership = {
    self: {},
    updateSelf() {},
    announceDeparture: (text: string) => texts.push(text),
  };
  const follower = new BackendFollower({
    environment: environment as unknown as CallEnvironment,
    membership: membership as unknown as GossipMembership,
    isStopping: () => false,
  });
  backend.subscribe(() => follower.publish());
  return { backend, follower, texts };
}

// Guards against a running server taken out for good, since the members told of the departure of another process under its id.
test("the departure of a later process, told by a member, leaves the server in use", () => {
  const before = createFollower();
  before.backend.leave({
    ...{ instanceId: INSTANCE_ID, startedAtMs: STARTED_AT_MS + 1 },
  });
  const after = createFollower();
  before.texts.forEach((text) => after.follower.followDeparture(text));
  assert.is(before.texts.length, 1);
  assert.is(after.backend.state, "serving");
  assert.is(after.texts.length, 1);
});

test("a departure that includes earlier processes ends the use of the server", () => {
  const before = createFollower();
  before.backend.leave({
    ...{ instanceId: INSTANCE_ID, startedAtMs: STARTED_AT_MS + 1 },
    includesEarlier: true,
  });
  const after = createFollower();
  before.texts.forEach((text) => after.follower.followDeparture(text));
  assert.is(after.backend.state, "leaving");
});

test("a text of a member that names no departure changes nothing", () => {
  const { backend, follower } = createFollower();
  for (const text of ["", INSTANCE_ID, `${INSTANCE_ID}/soon`]) {
    follower.followDeparture(text);
  }
  assert.is(backend.state, "serving");
  assert.is(backend.departure, undefined);
});

test.run();
