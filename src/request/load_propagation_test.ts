import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { LoadSignal } from "../generated/types.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { SmallFleet } from "../testing/small_fleet.ts";
import { TestCaller } from "../testing/test_caller.ts";
import type { TestOutcome } from "../testing/test_caller.ts";

interface Context {
  fleet: SmallFleet;
  caller: TestCaller;
}

const CHAIN = ["round-planning", "delivery-ledger", "stock", "price-sheets"];
const DEEPEST = "price-sheets";

const test = suite<Context>(
  "load propagation from a downstream service to the entry",
);

test.before.each(async (context) => {
  const network = await claimNetwork();
  context.caller = new TestCaller();
  context.fleet = new SmallFleet({
    vms: CHAIN.map((service, index) => ({
      service,
      address: `127.${network}.1.${index + 1}`,
    })),
    storeAddress: `127.${network}.1.200`,
  });
  await context.fleet.start();
});

test.after.each(async ({ caller, fleet }) => {
  await caller.close();
  await fleet.stop();
});

/** Makes the last service of the chain report that it admits only its most important class. */
function overloadDeepest({ fleet }: Context): void {
  const daemon = fleet.daemons[CHAIN.indexOf(DEEPEST)];
  assert.ok(daemon);
  let sequence = 0;
  daemon.environment.inboundAdmission.describeLoad = (service): LoadSignal => ({
    service,
    inFlight: 16,
    queued: 40,
    limit: 16,
    admitLevel: 0,
    instance: 1,
    sequence: sequence += 1,
    demandPerSecond: 900,
    admitPermille: [1_000, 0, 0],
  });
}

function send(
  { caller, fleet }: Context,
  { requestId, entry = 0 }: { requestId: string; entry?: number },
): Promise<TestOutcome> {
  return caller.send({
    entryUrl: fleet.entryUrl(entry),
    service: "round-planning",
    method: "GET",
    path: "/rounds/1",
    requestId,
    member: `member of ${requestId}`,
    timeoutMs: 10_000,
  });
}

test("one reply through four services makes the entry refuse, and no part of the refused request runs", async (context) => {
  overloadDeepest(context);
  const first = await send(context, { requestId: "request-1" });
  assert.is(first.outcome, "answered");
  const second = await send(context, { requestId: "request-2" });
  assert.equal([second.outcome, second.reason], [
    "refused-not-run",
    "overloaded-entry",
  ]);
  assert.ok(second.retryAfterMs > 0);
  const runs = context.fleet.backendServers.flatMap(({ runs }) => runs);
  assert.is(
    runs.filter(({ requestId }) => requestId === "request-2").length,
    0,
  );
});

test("intermediate daemons learn the load as well", async (context) => {
  overloadDeepest(context);
  await send(context, { requestId: "request-1" });
  const entry = CHAIN.indexOf("delivery-ledger");
  const { reason } = await send(context, { requestId: "request-2", entry });
  assert.is(reason, "overloaded-entry");
});

test("the most important class is still admitted", async (context) => {
  overloadDeepest(context);
  await send(context, { requestId: "request-1" });
  const { caller, fleet } = context;
  const [idempotencyKey = ""] = await caller.fetchKeys(fleet.entryUrl(0), 1);
  const { outcome } = await caller.send({
    entryUrl: fleet.entryUrl(0),
    service: "delivery-ledger",
    method: "POST",
    path: "/deliveries/1",
    requestId: "delivery-1",
    idempotencyKey,
    member: "member-1",
    timeoutMs: 10_000,
  });
  assert.is(outcome, "answered");
});

test.run();
