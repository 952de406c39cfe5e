import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CountExchange } from "../admission/mod.ts";
import type { CountsByKind } from "../admission/mod.ts";
import { SentBytes } from "../telemetry/mod.ts";
import { createSimulatedFleetPlan } from "../testing/create_simulated_fleet_plan.ts";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";

const test = suite("exchange of request counts by gossip");

const DOMAINS = 3;
const MEMBERS_PER_DOMAIN = 8;
const SETTLE_MS = 15_000;
const KIND = "round-view";

/** Constant counts of each member, so that sums are easy to tell. */
function createCounts(recentlyServed: number): CountsByKind {
  return new Map([[KIND, {
    requests: 10,
    served: 5,
    inProgress: 2,
    recentlyEnded: 4,
    recentlyServed,
  }]]);
}

const FAILING = createCounts(2);
const SERVED = createCounts(4);

async function startFleet() {
  const exchanges: CountExchange[] = [];
  const sentBytes = new SentBytes();
  const state = { own: FAILING };
  const fleet = new SimulatedFleet({
    ...createSimulatedFleetPlan({
      seed: 7,
      domains: DOMAINS,
      membersPerDomain: MEMBERS_PER_DOMAIN,
      services: 8,
      entryServices: 1,
    }),
    options: (clock) => {
      const countExchange = new CountExchange(clock, () => state.own);
      exchanges.push(countExchange);
      return { countExchange, sentBytes };
    },
  });
  await fleet.startAll();
  await fleet.run(SETTLE_MS);
  const countSentBytes = () =>
    sentBytes.list().filter(({ purpose }) => purpose === "gossip-counts")
      .reduce((sum, { bytes }) => sum + bytes, 0);
  return { fleet, exchanges, countSentBytes, state };
}

function listOtherRequests(exchanges: readonly CountExchange[]): number[] {
  return exchanges.map((exchange) => exchange.getOthers(KIND).requests);
}

/** Whether each value is close to what `members` others have; the counts in messages are a little older. */
function assertSumsOf(values: readonly number[], members: number): void {
  const expected = members * 10;
  for (const value of values) {
    assert.ok(
      value > expected * 0.6 && value <= expected * 1.01,
      `${value} instead of about ${expected}`,
    );
  }
}

test("nothing is sent while all requests are served", async () => {
  const { countSentBytes } = await startFleet();
  assert.is(countSentBytes(), 0);
});

test("after one failure, every member knows the counts of the whole fleet within two seconds", async () => {
  const { fleet, exchanges } = await startFleet();
  exchanges[5]?.activate();
  await fleet.run(2_000);
  assertSumsOf(
    listOtherRequests(exchanges),
    DOMAINS * MEMBERS_PER_DOMAIN - 1,
  );
});

test("a failure domain that is cut off goes on with its own counts", async () => {
  const { fleet, exchanges } = await startFleet();
  const [{ record } = { record: { failureDomain: "" } }] = fleet.members;
  const inside = new Set(
    fleet.listDomain(record.failureDomain).map(({ address }) => address),
  );
  fleet.network.faults.isPartitioned = (source, target) =>
    inside.has(source) !== inside.has(target);
  exchanges.forEach((exchange) => exchange.activate());
  await fleet.run(2_500);
  const values = listOtherRequests(exchanges);
  const isInside = fleet.members.map(({ address }) => inside.has(address));
  assertSumsOf(
    values.filter((_value, index) => isInside[index]),
    MEMBERS_PER_DOMAIN - 1,
  );
  assertSumsOf(
    values.filter((_value, index) => !isInside[index]),
    (DOMAINS - 1) * MEMBERS_PER_DOMAIN - 1,
  );
});

test("the exchange ends when requests are served again", async () => {
  const { fleet, exchanges, countSentBytes, state } = await startFleet();
  exchanges[5]?.activate();
  await fleet.run(2_000);
  const sentBytes = countSentBytes();
  assert.ok(sentBytes > 0);
  await fleet.run(10_000);
  assert.ok(countSentBytes() > sentBytes);
  state.own = SERVED;
  await fleet.run(10_000);
  const laterBytes = countSentBytes();
  await fleet.run(10_000);
  assert.is(countSentBytes(), laterBytes);
});

test.run();
