import { connect } from "node:net";
import { ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { CallMessage } from "../generated/types.ts";
import { createTestBudget } from "../testing/create_test_memory.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { waitUntil } from "../testing/small_fleet.ts";
import { PeerClient } from "./peer_client.ts";
import { PeerServer } from "./peer_server.ts";

interface Context {
  clock: ManualClock;
  link: LinkStandIn;
  server: PeerServer;
  client: PeerClient;
  received: CallMessage[];
}

const NETWORK = await claimNetwork();
const SERVER_ADDRESS = `127.${NETWORK}.2.1`;
const LINK_ADDRESS = `127.${NETWORK}.2.2`;
const PEER_PORT = 7302;
const REMAINING_MS = 2_000;
const EMPTY_BODY = new Uint8Array(0);

const test = suite<Context>("transit of calls");

test.before.each(async (context) => {
  context.clock = new ManualClock();
  context.received = [];
  context.link = new LinkStandIn();
  const options = {
    identity: {
      incarnation: "one",
      failureDomain: "gent-a",
      fleetToken: "token",
    },
    clock: context.clock,
    memory: createTestBudget(),
  };
  context.server = new PeerServer({
    ...options,
    handleCall: (call) => {
      context.received.push(call);
      return Promise.resolve(ok({
        ...{ status: 200, contentType: "", body: EMPTY_BODY },
        ...{ unusedAllowance: 0, loads: [] },
      }));
    },
    reportError: () => undefined,
  });
  await context.server.listen(SERVER_ADDRESS, PEER_PORT);
  await context.link.open({
    listenAddress: LINK_ADDRESS,
    listenPort: PEER_PORT,
    targetAddress: SERVER_ADDRESS,
    targetPort: PEER_PORT,
  });
  context.client = new PeerClient(
    { address: SERVER_ADDRESS, peerPort: PEER_PORT },
    {
      ...options,
      dial: ({ peerPort }) => connect({ host: LINK_ADDRESS, port: peerPort }),
    },
  );
});

test.after.each(({ client, server, link }) => {
  client.close();
  server.close();
  link.close();
});

async function send({ client }: Context, path: string): Promise<void> {
  const call = createPeerCall(path, { remainingMs: REMAINING_MS });
  await client.call(
    { ...call, headers: ["accept", "text/plain"] },
    EMPTY_BODY,
    { signal: new AbortController().signal },
  );
}

/** Sends a call whose bytes arrive only after `heldMs`, and returns it as received. */
async function sendHeld(
  context: Context,
  heldMs: number,
): Promise<CallMessage | undefined> {
  const { clock, link, received } = context;
  const countBefore = received.length;
  link.silenceFlows();
  const sent = send(context, "/held");
  await new Promise((resolve) => setImmediate(resolve));
  clock.advance(heldMs);
  link.resumeFlows();
  await waitUntil(() => received.length > countBefore);
  await sent;
  return received.at(-1);
}

// Guards against a daemon that stood still and then ran what had arrived meanwhile with all the time that was left when it was sent.
test("a call that was held up has only the time left that its sender still waits", async (context) => {
  await send(context, "/first");
  context.clock.advance(3_000);
  assert.is((await sendHeld(context, 600))?.context.remainingMs, 1_400);
  assert.is((await sendHeld(context, 2_500))?.context.remainingMs, 0);
});

test("a call that is not held up keeps its time, however long the connection is open", async (context) => {
  for (let minute = 0; minute < 5; minute += 1) {
    context.clock.advance(60_001);
    await send(context, "/calm");
  }
  for (const { context: { remainingMs }, headers } of context.received) {
    assert.is(remainingMs, REMAINING_MS);
    assert.equal(headers, ["accept", "text/plain"]);
  }
});

// Guards against handing on the time that a call had before its connection was opened.
test("the time that it takes to open the connection is deducted", async (context) => {
  const { clock, link, received } = context;
  link.hold();
  const sent = send(context, "/first");
  await new Promise((resolve) => setTimeout(resolve, 20));
  clock.advance(500);
  link.endHold();
  await sent;
  const [first] = received;
  assert.ok((first?.context.remainingMs ?? Infinity) <= 1_500);
});

test.run();
