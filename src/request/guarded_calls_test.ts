import * as assert from "uvu/assert";
import { suite } from "uvu";
import { PLACEMENTS } from "../idempotency/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { GuardedFleet, sleep } from "../testing/guarded/guarded_fleet.ts";
import { createEntry } from "../testing/guarded/guarded_node.ts";
import type { GuardedNode } from "../testing/guarded/guarded_node.ts";
import type { RunEvent } from "../testing/guarded/history.ts";
import { handOverKeys } from "./hand_over_keys.ts";
import type { EntryCall } from "./serve_entry_call.ts";

interface Context {
  fleet: GuardedFleet;
}

const LONG_DELAY_MS = 7_000;
const network = await claimNetwork();
let fleets = 0;

const test = suite<Context>("calls under keys");

test.before.each(async (context) => {
  fleets += 1;
  context.fleet = new GuardedFleet({
    network: `127.${network}.${fleets}`,
    randomSeed: 7,
  });
  await context.fleet.start();
});

test.after.each(({ fleet }) => fleet.close());

function pick(fleet: GuardedFleet, index: number): GuardedNode {
  const node = fleet.nodes[index];
  assert.ok(node);
  return node as GuardedNode;
}

async function send(
  node: GuardedNode,
  changes: Partial<EntryCall>,
): Promise<string> {
  const path = `/deliveries/${changes.requestId ?? ""}`;
  const result = await node.serve({ ...createEntry(path), ...changes });
  if (result === "lost") {
    return result;
  }
  return result.isOk()
    ? "answered"
    : `${result.error.kind} ${result.error.reason}`;
}

function listRuns({ history }: GuardedFleet, service: string): string[] {
  return history.events.filter((event): event is RunEvent =>
    event.kind === "run" && event.service === service
  ).map(({ requestId }) => requestId);
}

test("after a planned stop the successor has used keys, unused keys and later ones", async ({ fleet }) => {
  const [former, entry] = [pick(fleet, 0), pick(fleet, 1)];
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

test("keys handed over twice are held by the last successor", async ({ fleet }) => {
  const former = pick(fleet, 0);
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
  assert.is(await send(entry as GuardedNode, request), "answered");
});

test("a lost acknowledgement is asked for again and nobody else gets the keys", async ({ fleet }) => {
  const former = pick(fleet, 0);
  const links = fleet.listLinksFrom(0);
  await Promise.all([1, 2, 3].map((id) =>
    send(former, {
      requestId: `warm-${id}`,
      idempotencyKey: former.environment.keys.issueKey(),
    })
  ));
  links.forEach((link) => link.backward.oneWayDelayMs = LONG_DELAY_MS);
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

test("without any acknowledgement the keys are used by nobody here", async ({ fleet }) => {
  const former = pick(fleet, 0);
  const idempotencyKey = former.environment.keys.issueKey();
  await Promise.all(
    fleet.nodes.slice(1).map(({ environment }) =>
      former.environment.peers.get(environment.membership.self).call(
        {
          kind: "call",
          purpose: "resolve",
          idempotencyKey: "",
          context: {
            ...{ requestId: "warm", requestName: "warm", className: "warm" },
            ...{
              member: "",
              tenant: "",
              remainingMs: 1_000,
              retryAllowance: 0,
            },
            ...{ depth: 0, isRepeatable: true, isBulk: false },
          },
          ...{ service: "warm", method: "GET", path: "/", contentType: "" },
          bodyLengthBytes: 0,
        },
        new Uint8Array(0),
        { signal: new AbortController().signal },
      )
    ),
  );
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

test("another process at the holder's address is not taken for the holder", async ({ fleet }) => {
  const idempotencyKey = pick(fleet, 0).environment.keys.issueKey();
  await fleet.inject("crash", 0, 0);
  const entry = pick(fleet, 1);
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

test("a connection lost on the way to the holder costs neither a second run nor the answer", async ({ fleet }) => {
  const [holder, entry] = [pick(fleet, 0), pick(fleet, 1)];
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

test("a caller that leaves does not stop the run that it will ask for", async ({ fleet }) => {
  const [holder, entry] = [pick(fleet, 3), pick(fleet, 4)];
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

test("a deeper non-repeatable call that is sent twice runs once", async ({ fleet }) => {
  const holder = pick(fleet, 0);
  const idempotencyKey = holder.environment.keys.issueKey();
  await send(holder, { requestId: "one", idempotencyKey });
  assert.equal(listRuns(fleet, "stock"), ["one"]);
});

test("a non-repeatable call below a repeatable request is refused", async ({ fleet }) => {
  const node = pick(fleet, 0);
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
  assert.is(parent.allowance.left, 3);
  assert.equal(listRuns(fleet, "stock"), []);
});

test.run();
