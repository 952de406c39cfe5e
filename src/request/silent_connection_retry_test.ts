import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DECISIONS } from "../telemetry/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { SmallFleet, waitUntil } from "../testing/small_fleet.ts";
import { TestCaller } from "../testing/test_caller.ts";

interface Context {
  fleet: SmallFleet;
  caller: TestCaller;
  links: LinkStandIn[];
}

const PEER_PORT = 7102;
const LONG_MS = 20_000;

const test = suite<Context>("silent connections to an instance");

test.before(async (context) => {
  const network = await claimNetwork();
  const stockAddresses = [`127.${network}.1.2`, `127.${network}.1.3`];
  context.caller = new TestCaller();
  context.links = [];
  const linkAddresses: Record<string, string> = {};
  for (const address of stockAddresses) {
    const link = new LinkStandIn();
    const listenAddress = address.replace(".1.", ".2.");
    linkAddresses[address] = listenAddress;
    await link.open({
      listenAddress,
      listenPort: PEER_PORT,
      targetAddress: address,
      targetPort: PEER_PORT,
    });
    context.links.push(link);
  }
  context.fleet = new SmallFleet({
    vms: [
      { service: "round-planning", address: `127.${network}.1.1` },
      ...stockAddresses.map((address) => ({ service: "stock", address })),
    ],
    storeAddress: `127.${network}.1.200`,
    configuration: createLongConfiguration(),
    links: linkAddresses,
  });
  await context.fleet.start();
});

test.after(async ({ caller, fleet, links }) => {
  await caller.close();
  await fleet.stop();
  links.forEach((link) => link.close());
});

function createLongConfiguration() {
  const configuration = createTestConfiguration();
  return {
    ...configuration,
    requests: configuration.requests.map((request) => ({
      ...request,
      deadlineMs: LONG_MS,
    })),
  };
}

test("a repeatable call on a silent connection is retried on another instance and answered completely", async ({ caller, fleet, links }) => {
  const [, ...stockServers] = fleet.backendServers;
  stockServers.forEach(({ behavior }) => behavior.serviceTimeMs = LONG_MS);
  const outcome = caller.send({
    entryUrl: fleet.entryUrl(0),
    service: "stock",
    method: "GET",
    path: "/levels/1",
    requestId: "request-1",
    member: "member-1",
    timeoutMs: LONG_MS,
  });
  await waitUntil(() => fleet.listRuns("stock").length === 1);
  const silent = stockServers.findIndex(({ runs }) => runs.length === 1);
  stockServers.forEach(({ behavior }) => behavior.serviceTimeMs = 1);
  links[silent]?.silenceFlows();
  const { outcome: kind, text } = await outcome;
  assert.is(kind, "answered");
  assert.is(JSON.parse(text).requestId, "request-1");
  assert.is(fleet.listRuns("stock").length, 2);
  const replaced = fleet.daemons[0]?.environment.journal.list({
    kind: DECISIONS.connectionReplaced,
  });
  assert.is(replaced?.length, 1);
});

test.run();
