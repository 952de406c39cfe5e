import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createStopSchedule } from "../leaving/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { SmallFleet, waitUntil } from "../testing/small_fleet.ts";
import { TestCaller } from "../testing/test_caller.ts";
import type { TestOutcome } from "../testing/test_caller.ts";

interface Context {
  fleet: SmallFleet;
  caller: TestCaller;
}

const SERVICES = [
  "round-planning",
  "price-sheets",
  "price-sheets",
  "price-sheets",
];
const TIMEOUT_MS = 30_000;
/** Longer than the leave notice of a stopping daemon. */
const WORK_MS = 1_500;

/** More calls than an instance runs at the same time. */
const CALLS_BEYOND_SLOTS = 24;

const test = suite<Context>("leaving backend servers and stopping daemons");

test.before.each(async (context) => {
  const configuration = createTestConfiguration();
  const network = await claimNetwork();
  context.caller = new TestCaller();
  context.fleet = new SmallFleet({
    vms: SERVICES.map((service, index) => ({
      service,
      address: `127.${network}.1.${index + 1}`,
    })),
    storeAddress: `127.${network}.1.200`,
    drainTimeoutMs: TIMEOUT_MS,
    configuration: {
      ...configuration,
      requests: configuration.requests.map((request) => ({
        ...request,
        deadlineMs: TIMEOUT_MS,
        retryAllowance: 0,
      })),
    },
  });
  await context.fleet.start();
});

test.after.each(async ({ caller, fleet }) => {
  await caller.close();
  await fleet.stop();
});

function send(
  { caller, fleet }: Context,
  requestId: string,
  entry = 0,
): Promise<TestOutcome> {
  return caller.send({
    entryUrl: fleet.entryUrl(entry),
    service: "price-sheets",
    method: "GET",
    path: "/sheets/1",
    requestId,
    member: "member-1",
    timeoutMs: TIMEOUT_MS,
  });
}

/** Makes the entry daemon regard every instance as available, even after some have left. */
function freezeInstanceList(fleet: SmallFleet): void {
  const membership = fleet.daemons[0]?.environment.membership;
  assert.ok(membership);
  if (membership) {
    const instances = membership.listInstances("price-sheets");
    assert.is(instances.length, 3);
    membership.listInstances = () => instances;
  }
}

test("a call refused by a leaving instance goes to another one, even without a retry allowance", async (context) => {
  const { fleet } = context;
  freezeInstanceList(fleet);
  fleet.daemons[1]?.environment.backend.leave();
  fleet.daemons[2]?.environment.backend.leave();
  for (let call = 0; call < 12; call += 1) {
    assert.is((await send(context, `request-${call}`)).outcome, "answered");
  }
  assert.equal(
    fleet.backendServers.map(({ runs }) => runs.length),
    [0, 0, 0, 12],
  );
});

test("a call is refused without running if every instance is leaving", async (context) => {
  const { fleet } = context;
  freezeInstanceList(fleet);
  fleet.daemons.slice(1).forEach(({ environment }) =>
    environment.backend.leave()
  );
  const { outcome } = await send(context, "request-1");
  assert.is(outcome, "refused-not-run");
  assert.is(fleet.listRuns("price-sheets").length, 0);
});

// Guards against calls that are begun at any time of a stop and cut off at its end.
test("late in a stop, a call whose time limit is later than the end is refused without running", async (context) => {
  const { fleet } = context;
  const environment = fleet.daemons[0]?.environment;
  assert.is((await send(context, "before")).outcome, "answered");
  const schedule = { leaveNoticeMs: 2_500, drainTimeoutMs: 3_000 };
  environment?.stop.begin(
    createStopSchedule(environment.clock.monotonicMs() - 3_000, schedule),
  );
  const { outcome, reason, retryAfterMs } = await send(context, "late");
  assert.equal({ outcome, reason }, {
    ...{ outcome: "refused-not-run", reason: "daemon-stopping" },
  });
  assert.ok(retryAfterMs > 0);
  assert.is(fleet.listRuns("price-sheets").length, 1);
});

test("a stopping daemon finishes running calls and closes the connections of its callers", async (context) => {
  const { fleet } = context;
  for (const { behavior } of fleet.backendServers) {
    behavior.serviceTimeMs = WORK_MS;
  }
  const running = [1, 2, 3].map((entry) =>
    send(context, `running-${entry}`, entry)
  );
  await waitUntil(() => fleet.activeCount === 3);
  const stopped = fleet.daemons[1]?.stop();
  const late = await fetch(`${fleet.entryUrl(1)}/call/price-sheets/sheets/2`);
  await late.text();
  assert.is(late.headers.get("celeryhollow-outcome"), "answered");
  assert.is(late.headers.get("connection"), "close");
  const outcomes = await Promise.all(running);
  assert.equal(outcomes.map(({ outcome }) => outcome), [
    "answered",
    "answered",
    "answered",
  ]);
  await stopped;
  const runs = fleet.backendServers.flatMap(({ runs }) => runs);
  assert.ok(runs.every(({ isFinished }) => isFinished));
});

// Guards against the refusal of calls that wait at the only instance of a service, which would be served before the stop ends.
test("calls that wait at the only instance are served while its daemon stops", async (context) => {
  const { fleet } = context;
  const [, stopping, ...others] = fleet.daemons;
  others.forEach(({ environment }) => environment.backend.leave());
  await waitUntil(() =>
    fleet.daemons.slice(0, 2).every(({ environment }) =>
      environment.membership.listInstances("price-sheets").length === 1
    )
  );
  for (const { behavior } of fleet.backendServers) {
    behavior.serviceTimeMs = 300;
  }
  const sent = Array.from(
    { length: CALLS_BEYOND_SLOTS },
    (_, index) => send(context, `waiting-${index}`),
  );
  const admission = stopping?.environment.inboundAdmission;
  await waitUntil(() => admission?.pendingCalls === CALLS_BEYOND_SLOTS);
  const stopped = stopping?.stop();
  const outcomes = await Promise.all(sent);
  assert.equal(
    outcomes.filter(({ outcome }) => outcome !== "answered"),
    [],
  );
  await stopped;
});

test.run();
