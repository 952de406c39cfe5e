import { once } from "node:events";
import { request } from "undici";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { claimNetwork } from "../testing/claim_network.ts";
import { TestCaller } from "../testing/test_caller.ts";
import type { TestCall } from "../testing/test_caller.ts";
import { createTestFleetPlan } from "./create_test_fleet_plan.ts";
import { Fleet, FLEET_TOKEN, PORTS } from "./fleet.ts";

interface Context {
  fleet: Fleet;
  caller: TestCaller;
}

const test = suite<Context>("end-to-end calls through daemon processes");

test.before(async (context) => {
  context.caller = new TestCaller();
  context.fleet = new Fleet(
    createTestFleetPlan({
      protection: "on",
      network: await claimNetwork(),
      slots: 8,
    }),
  );
  await context.fleet.start();
});

test.after(async ({ caller, fleet }) => {
  await caller.close();
  await fleet.stop();
});

function createCall({ fleet }: Context, changes: Partial<TestCall>): TestCall {
  return {
    entryUrl: fleet.entryUrls[0] ?? "",
    service: "round-planning",
    method: "GET",
    path: "/rounds/7",
    requestId: "request-1",
    member: "member-1",
    timeoutMs: 5_000,
    ...changes,
  };
}

test("a call through four services returns the complete response, whichever daemon it enters at", async (context) => {
  for (const [index, entryUrl] of context.fleet.entryUrls.entries()) {
    const requestId = `request-${index}`;
    const { outcome, text } = await context.caller.send(
      createCall(context, { entryUrl, requestId }),
    );
    assert.is(outcome, "answered");
    assert.equal(listServices(JSON.parse(text)), [
      "round-planning",
      "delivery-ledger",
      "stock",
      "price-sheets",
    ]);
    assert.is(JSON.parse(text).requestId, requestId);
  }
});

test("a non-repeatable call that is sent to every daemon runs once", async (context) => {
  const { fleet, caller } = context;
  const [idempotencyKey = ""] = await caller.fetchKeys(
    fleet.entryUrls[0] ?? "",
    1,
  );
  const delivery: Partial<TestCall> = {
    service: "delivery-ledger",
    method: "POST",
    path: "/deliveries/1",
    requestId: "delivery-1",
    idempotencyKey,
  };
  const outcomes = await Promise.all(
    fleet.entryUrls.map((entryUrl) =>
      caller.send(createCall(context, { ...delivery, entryUrl }))
    ),
  );
  assert.equal([...new Set(outcomes.map(({ outcome }) => outcome))], [
    "answered",
  ]);
  const runs = fleet.vms.flatMap(({ backendServer }) => backendServer.runs)
    .filter(({ requestId, service }) =>
      requestId === "delivery-1" && service === "delivery-ledger"
    );
  assert.is(runs.length, 1);
});

test("a non-repeatable call without an idempotency key is refused and receives a key", async (context) => {
  const call = createCall(context, {
    service: "delivery-ledger",
    method: "POST",
    path: "/deliveries/2",
  });
  const { outcome, status, reason, idempotencyKey } = await context.caller.send(
    call,
  );
  assert.equal({ outcome, status, reason }, {
    outcome: "refused-not-run",
    status: 428,
    reason: "key-required",
  });
  assert.ok(idempotencyKey.length > 0);
});

test("a call to an unknown service is refused without being run", async (context) => {
  const { outcome, status, reason } = await context.caller.send(
    createCall(context, { service: "no-such-service" }),
  );
  assert.equal({ outcome, status, reason }, {
    outcome: "refused-not-run",
    status: 404,
    reason: "unknown-service",
  });
});

test("a daemon that an operator stops exits with code 0, and the others continue to serve", async (context) => {
  const { fleet, caller } = context;
  const [stopping, entry] = [fleet.vms.at(-1), fleet.vms[0]];
  assert.ok(stopping && entry);
  const exited = once(stopping.daemon, "exit");
  const response = await request(
    `http://${stopping.plan.address}:${PORTS.admin}/v1/stop`,
    { method: "POST", headers: { authorization: `Bearer ${FLEET_TOKEN}` } },
  );
  await response.body.dump();
  assert.equal(await exited, [0, null]);
  const { outcome } = await caller.send(createCall(context, {}));
  assert.is(outcome, "answered");
});

test("the admin API rejects a wrong fleet token", async ({ fleet }) => {
  const response = await request(
    `http://${fleet.vms[0]?.plan.address}:${PORTS.admin}/v1/status`,
    { headers: { authorization: "Bearer guess" } },
  );
  await response.body.dump();
  assert.is(response.statusCode, 401);
});

function listServices(
  answer: { service: string; nested: typeof answer | null },
): string[] {
  return answer.nested
    ? [answer.service, ...listServices(answer.nested)]
    : [answer.service];
}

test.run();
