import * as assert from "uvu/assert";
import { suite } from "uvu";
import { PLACEMENTS } from "../idempotency/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import {
  FaultInjectionFleet,
  sleep,
} from "../testing/fault_injection/fault_injection_fleet.ts";
import { createEntryCall } from "../testing/fault_injection/fault_injection_node.ts";
import type { FaultInjectionNode } from "../testing/fault_injection/fault_injection_node.ts";
import type { RunEvent } from "../testing/fault_injection/history.ts";
import { handOverKeys } from "./hand_over_keys.ts";
import type { EntryCall } from "./serve_entry_call.ts";

interface Context {
  fleet: FaultInjectionFleet;
}

/** Longer than the timeout for a successor's acknowledgement. */
const LONG_DELAY_MS = 7_000;

/** Long enough to cut a connection before a reply arrives. */
const SHORT_DELAY_MS = 1_000;

const network = await claimNetwork();
let fleets = 0;

const test = suite<Context>("calls with idempotency keys");

test.before.each(async (context) => {
  fleets += 1;
  context.fleet = new FaultInjectionFleet({
    network: `127.${network}.${fleets}`,
    randomSeed: 7,
  });
  await context.fleet.start();
});

test.after.each(({ fleet }) => fleet.close());

function getNode(
  fleet: FaultInjectionFleet,
  index: number,
): FaultInjectionNode {
  const node = fleet.nodes[index];
  assert.ok(node);
  return node as FaultInjectionNode;
}

async function send(
  node: FaultInjectionNode,
  changes: Partial<EntryCall>,
): Promise<string> {
  const path = `/deliveries/${changes.requestId ?? ""}`;
  const result = await node.serve({ ...createEntryCall(path), ...changes });
  if (result === "lost") {
    return result;
  }
  return result.isOk()
    ? "answered"
    : `${result.error.kind} ${result.error.reason}`;
}

function listRuns({ history }: FaultInjectionFleet, service: string): string[] {
  return history.events.filter((event): event is RunEvent =>
    event.kind === "run" && event.service === service
  ).map(({ requestId }) => requestId);
}

/** Opens a connection from a node to every other node. */
async function openConnections(
  node: FaultInjectionNode,
  fleet: FaultInjectionFleet,
): Promise<void> {
  const others = fleet.nodes.filter((other) => other !== node);
  const call = createPeerCall("/");
  const signal = new AbortController().signal;
  await Promise.all(
    others.map(({ environment }) =>
      node.environment.peers.get(environment.membership.self).call(
        { ...call, purpose: "resolve" },
        new Uint8Array(0),
        { signal },
      )
    ),
  );
}

test("a successor takes over used, unused and later issued keys after a planned stop", async ({ fleet }) => {
  const [former, entry] = [getNode(fleet, 0), getNode(fleet, 1)];
  const keys = [1, 2].map(() => former.environment.keys.issueKey());
  const [used = "", unused = ""] = keys;
  await send(former, { requestId: "used", idempotencyKey: used });
  await former.stop();
  const later = former.environment.keys.issueKey();
  former.crash();
  const outcomes = [
    await send(entry, { requestId: "used", idempotencyKey: used, attempt: 2 }),
    await send(entry, { requestId: "unused", idempotencyKey: unused }),
    await send(entry, { requestId: "later", idempotencyKey: later }),
  ];
  assert.equal(outcomes, ["answered", "answered", "answered"]);
  assert.equal(listRuns(fleet, "delivery-ledger"), ["used", "unused", "later"]);
});

test("the last successor holds keys that were handed over twice", async ({ fleet }) => {
  const former = getNode(fleet, 0);
  const idempotencyKey = former.environment.keys.issueKey();
  await former.stop();
  const successor = fleet.nodes.find(({ incarnation }) =>
    incarnation === former.environment.keyPlacement.successor
  );
  await successor?.stop();
  former.crash();
  successor?.crash();
  const entry = fleet.nodes.find((node) =>
    node !== former && node !== successor
  );
  assert.ok(entry);
  const request = { requestId: "chained", idempotencyKey };
  assert.is(await send(entry as FaultInjectionNode, request), "answered");
});

test("after a lost acknowledgement the offer is repeated only to the same successor", async ({ fleet }) => {
  const former = getNode(fleet, 0);
  const links = fleet.listLinksFrom(0);
  await openConnections(former, fleet);
  links.forEach((link) => link.backward.oneWayDelayMs = SHORT_DELAY_MS);
  const handedOver = handOverKeys(former.environment);
  await sleep(200);
  links.forEach((link) => link.backward.oneWayDelayMs = 0);
  links.forEach((link) => link.cut());
  links.forEach((link) => link.restore());
  await handedOver;
  const holders = fleet.nodes.filter((node) =>
    node !== former && node.environment.keys.holds(former.incarnation)
  );
  const { state, successor } = former.environment.keyPlacement;
  assert.is(state, PLACEMENTS.handedOver);
  assert.equal(holders.map(({ incarnation }) => incarnation), [successor]);
});

test("without an acknowledgement the stopping daemon does not use the keys", async ({ fleet }) => {
  const former = getNode(fleet, 0);
  const idempotencyKey = former.environment.keys.issueKey();
  await openConnections(former, fleet);
  fleet.listLinksFrom(0).forEach((link) =>
    link.backward.oneWayDelayMs = LONG_DELAY_MS
  );
  await handOverKeys(former.environment);
  const holders = fleet.nodes.filter((node) =>
    node !== former && node.environment.keys.holds(former.incarnation)
  );
  assert.is(former.environment.keyPlacement.state, PLACEMENTS.lost);
  assert.is(holders.length, 1);
  const request = { requestId: "lost", idempotencyKey };
  assert.is(await send(former, request), "unknown key-holder-gone");
  assert.equal(listRuns(fleet, "delivery-ledger"), []);
});

test("an entry looks up an unknown key holder", async ({ fleet }) => {
  const [holder, entry] = [getNode(fleet, 0), getNode(fleet, 1)];
  const idempotencyKey = holder.environment.keys.issueKey();
  entry.environment.membership.find = () => undefined;
  const request = { requestId: "one", idempotencyKey };
  assert.is(await send(entry, request), "unknown key-holder-gone");
  const known = holder.environment.membership.self;
  const other = getNode(fleet, 2);
  other.environment.membership.find = () => undefined;
  other.environment.membership.lookUp = () => Promise.resolve(known);
  assert.is(await send(other, request), "answered");
});

test("another process at the holder's address is not treated as the holder", async ({ fleet }) => {
  const idempotencyKey = getNode(fleet, 0).environment.keys.issueKey();
  await fleet.inject("crash", 0, 0);
  const entry = getNode(fleet, 1);
  const request = { requestId: "one", idempotencyKey };
  assert.is(
    await send(entry, { ...request, attempt: 2 }),
    "unknown key-holder-gone",
  );
  assert.is(
    await send(entry, { ...request, attempt: 1 }),
    "refused key-holder-gone",
  );
});

test("losing the connection to the holder causes no second run and no lost answer", async ({ fleet }) => {
  const [holder, entry] = [getNode(fleet, 0), getNode(fleet, 1)];
  const idempotencyKey = holder.environment.keys.issueKey();
  const outcome = send(entry, { requestId: "one", idempotencyKey });
  while (listRuns(fleet, "delivery-ledger").length === 0) {
    await sleep(1);
  }
  fleet.listLinksFrom(1).forEach((link) => link.cut());
  fleet.listLinksFrom(1).forEach((link) => link.restore());
  assert.is(await outcome, "answered");
  assert.equal(listRuns(fleet, "delivery-ledger"), ["one"]);
});

test("an unknown outcome is resolved once the runner is reachable again", async ({ fleet }) => {
  const holder = getNode(fleet, 3);
  const idempotencyKey = holder.environment.keys.issueKey();
  const request = { requestId: "one", idempotencyKey };
  const first = send(holder, { ...request, deadlineMs: 400 });
  while (listRuns(fleet, "delivery-ledger").length === 0) {
    await sleep(1);
  }
  fleet.listLinksFrom(3).forEach((link) => link.cut());
  assert.is(await first, "unknown connection-lost");
  fleet.listLinksFrom(3).forEach((link) => link.restore());
  assert.is(await send(holder, { ...request, attempt: 2 }), "answered");
  assert.equal(listRuns(fleet, "delivery-ledger"), ["one"]);
});

test("a caller that disconnects does not cancel the run, so that it can query the outcome", async ({ fleet }) => {
  const [holder, entry] = [getNode(fleet, 3), getNode(fleet, 4)];
  const idempotencyKey = holder.environment.keys.issueKey();
  const controller = new AbortController();
  const request = { requestId: "one", idempotencyKey };
  const first = send(entry, { ...request, signal: controller.signal });
  while (listRuns(fleet, "delivery-ledger").length === 0) {
    await sleep(1);
  }
  controller.abort();
  assert.is((await first).split(" ")[0], "unknown");
  assert.is(await send(holder, { ...request, attempt: 2 }), "answered");
  assert.equal(listRuns(fleet, "delivery-ledger"), ["one"]);
});

test("a nested non-repeatable call that is sent twice runs once", async ({ fleet }) => {
  const holder = getNode(fleet, 0);
  const idempotencyKey = holder.environment.keys.issueKey();
  await send(holder, { requestId: "one", idempotencyKey });
  assert.equal(listRuns(fleet, "stock"), ["one"]);
});

test("a non-repeatable nested call of a repeatable request is refused", async ({ fleet }) => {
  const node = getNode(fleet, 0);
  const context = {
    ...{ requestId: "one", requestName: "fetch-round", className: "rounds" },
    ...{ member: "", tenant: "", remainingMs: 1_000, retryAllowance: 3 },
    ...{ depth: 0, isRepeatable: true, isBulk: false },
  };
  const { signal } = new AbortController();
  const parent = node.environment.activeCalls.begin(context, signal);
  assert.is(
    await send(node, { service: "stock", requestId: "one", parent }),
    "refused parent-repeatable",
  );
  assert.is(parent.allowance.remaining, 3);
  assert.equal(listRuns(fleet, "stock"), []);
});

test.run();
