import { suite } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { SmallFleet, waitUntil } from "../testing/small_fleet.ts";
import { TestCaller } from "../testing/test_caller.ts";
import type { TestCall, TestOutcome } from "../testing/test_caller.ts";

interface Context {
  network: number;
  fleet: SmallFleet;
  caller: TestCaller;
}

const CHAIN = ["round-planning", "delivery-ledger", "stock", "price-sheets"];
const DEEPEST = "price-sheets";
const ALLOWANCE = 3;
const LONG_MS = 60_000;

const test = suite<Context>("retries and cancellation along a chain");

test.before(async (context) => {
  context.network = await claimNetwork();
});

test.before.each(async (context) => {
  context.caller = new TestCaller();
  context.fleet = new SmallFleet({
    vms: [...CHAIN, ...CHAIN].map((service, index) => ({
      service,
      address: `127.${context.network}.1.${index + 1}`,
    })),
    storeAddress: `127.${context.network}.1.200`,
    configuration: createLongConfiguration(),
  });
  await context.fleet.start();
});

test.after.each(async ({ caller, fleet }) => {
  await caller.close();
  await fleet.stop();
});

function createLongConfiguration() {
  const configuration = createTestConfiguration();
  return {
    ...configuration,
    requests: configuration.requests.map((request) => ({
      ...request,
      deadlineMs: LONG_MS,
      retryAllowance: ALLOWANCE,
    })),
  };
}

function send(
  { caller, fleet }: Context,
  changes: Partial<TestCall> = {},
): Promise<TestOutcome> {
  return caller.send({
    entryUrl: fleet.entryUrl(0),
    service: "round-planning",
    method: "GET",
    path: "/rounds/1",
    requestId: "request-1",
    member: "member-1",
    timeoutMs: LONG_MS,
    ...changes,
  });
}

function slowDown(fleet: SmallFleet): void {
  for (const { behavior } of fleet.backendServers) {
    behavior.serviceTimeMs = LONG_MS;
  }
}

function countRuns(fleet: SmallFleet): number[] {
  return CHAIN.map((service) => fleet.listRuns(service).length);
}

test("only the hop that calls a failing service retries, and its error answer is passed on unchanged", async (context) => {
  const { fleet } = context;
  fleet.backendServers.filter((_, index) => CHAIN[index % 4] === DEEPEST)
    .forEach(({ behavior }) => behavior.failureRatio = 1);
  const { outcome, status, text } = await send(context);
  assert.is(outcome, "answered");
  assert.is(status, 502);
  assert.equal(JSON.parse(text).service, "delivery-ledger");
  const [first, second, third, deepest = 0] = countRuns(fleet);
  assert.equal([first, second, third], [1, 1, 1]);
  assert.ok(deepest > 1 && deepest <= 1 + ALLOWANCE, `${deepest} runs`);
});

test("duplicates of a request in progress are joined", async (context) => {
  const { fleet } = context;
  slowDown(fleet);
  const first = send(context, { timeoutMs: LONG_MS });
  await waitUntil(() => fleet.activeCount === 1);
  const others = [send(context), send(context)];
  const { joiner, metrics } = fleet.daemons[0]?.environment ?? {};
  while (Number((await metrics?.joinedCalls.get())?.values[0]?.value) !== 2) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  assert.is(joiner?.size, 1);
  assert.is(countRuns(fleet)[0], 1);
  await context.caller.close();
  await Promise.all([first, ...others]);
  await waitUntil(() => fleet.activeCount === 0);
});

test("a caller that disconnects cancels all nested calls", async (context) => {
  const { fleet } = context;
  fleet.backendServers.filter((_, index) => CHAIN[index % 4] === DEEPEST)
    .forEach(({ behavior }) => behavior.serviceTimeMs = LONG_MS);
  const outcome = send(context);
  await waitUntil(() => fleet.activeCount === CHAIN.length);
  await context.caller.close();
  await outcome;
  await waitUntil(() => fleet.activeCount === 0);
  assert.equal(countRuns(fleet), [1, 1, 1, 1]);
});

test("the deadline shrinks along the chain and ends all calls of the chain", async (context) => {
  const { fleet } = context;
  fleet.backendServers.filter((_, index) => CHAIN[index % 4] === DEEPEST)
    .forEach(({ behavior }) => behavior.serviceTimeMs = LONG_MS);
  const entryUrl = `${fleet.entryUrl(0)}/call/round-planning/rounds/1`;
  const response = await fetch(entryUrl, {
    headers: { "celeryhollow-deadline-ms": "400" },
  });
  await response.text();
  assert.is(response.headers.get("celeryhollow-outcome"), "unknown");
  assert.is(response.headers.get("celeryhollow-reason"), "deadline-expired");
  await waitUntil(() => fleet.activeCount === 0);
  const deadlines = CHAIN.map((service) =>
    fleet.listRuns(service)[0]?.deadlineMs ?? 0
  );
  assert.equal(deadlines, [...deadlines].sort((one, other) => other - one));
  assert.ok(deadlines.every((deadlineMs) => deadlineMs <= 400));
});

test.run();
