import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { ok } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HEARTBEAT_INTERVAL_MS } from "../constants/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import { PeerServer } from "../peer/mod.ts";
import type { ConnectionReplacement } from "../peer/mod.ts";
import { createTestBudget } from "../testing/create_test_memory.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { PeerClients } from "./peer_clients.ts";

const NETWORK = await claimNetwork();
const PEER_PORT = 7302;
const PEERS = 4;

/** Real time in which the sockets of this process exchange their messages. */
const NETWORK_MS = 20;

/** Time within which all silent connections of a daemon have to be replaced, in intervals of heartbeats. */
const HEALED_WITHIN_INTERVALS = 5;

const EMPTY_BODY = new Uint8Array(0);

async function createFixture() {
  const clock = new ManualClock();
  const replacements: ConnectionReplacement[] = [];
  const link = new LinkStandIn();
  const identity = { failureDomain: "gent-a", fleetToken: "token" };
  const options = { clock, memory: createTestBudget() };
  let isAnswering = true;
  const members = Array.from({ length: PEERS }, (_, index) => ({
    incarnation: `peer-${index}`,
    address: `127.${NETWORK}.2.${index + 1}`,
    peerPort: PEER_PORT,
  } as MemberRecord));
  const servers: PeerServer[] = [];
  for (const { incarnation, address } of members) {
    const server = new PeerServer({
      ...options,
      identity: { ...identity, incarnation },
      handleCall: () =>
        isAnswering
          ? Promise.resolve(ok({
            ...{ status: 200, contentType: "", body: Buffer.from("done") },
            ...{ unusedAllowance: 0, loads: [] },
          }))
          : new Promise(() => undefined),
      reportError: () => undefined,
    });
    servers.push(server);
    await server.listen(address, PEER_PORT);
    await link.open({
      listenAddress: address.replace(".2.", ".3."),
      listenPort: PEER_PORT,
      targetAddress: address,
      targetPort: PEER_PORT,
    });
  }
  const clients = new PeerClients({
    ...options,
    identity: { ...identity, incarnation: "own" },
    dial: ({ address, peerPort }) =>
      connect({ host: address.replace(".2.", ".3."), port: peerPort }),
    reportReplacement: (replacement) => replacements.push(replacement),
  });
  return {
    ...{ clock, clients, link, members, replacements },
    hold: () => isAnswering = false,
    close: () => {
      clients.close();
      servers.forEach((server) => void server.close());
      link.close();
    },
  };
}

// Guards against finding silent connections one by one, each at the cost of the calls sent on it, when a network fault has silenced them all.
test("when one connection is silent, all silent ones are replaced without a call on them", async () => {
  const fixture = await createFixture();
  const { clock, clients, link, members, replacements } = fixture;
  const call = (index: number) =>
    clients.get(members[index] as MemberRecord).call(
      createPeerCall("/", { isRepeatable: true }),
      EMPTY_BODY,
      { signal: new AbortController().signal },
    );
  await Promise.all(members.map((_, index) => call(index)));
  fixture.hold();
  clock.advance(HEARTBEAT_INTERVAL_MS);
  void call(0);
  await new Promise((resolve) => setTimeout(resolve, NETWORK_MS));
  link.silenceFlows();
  for (let interval = 0; interval < HEALED_WITHIN_INTERVALS; interval += 1) {
    clock.advance(HEARTBEAT_INTERVAL_MS);
    await new Promise((resolve) => setTimeout(resolve, NETWORK_MS));
  }
  fixture.close();
  assert.equal(
    replacements.map(({ address }) => address).sort(),
    members.map(({ address }) => address),
  );
});

test.run();
