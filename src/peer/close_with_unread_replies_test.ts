import { Buffer } from "node:buffer";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CallController } from "../cancellation/mod.ts";
import { HeldMemory, MemoryBudget } from "../memory/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import { SystemClock } from "../time/mod.ts";
import { PeerClient } from "./peer_client.ts";
import { PeerServer } from "./peer_server.ts";

const ADDRESS = `127.${await claimNetwork()}.1.1`;
const PEER_PORT = 7102;

const CALLS = 20;
const REPLY_BYTES = 60_000;

const test = suite("close with unread replies");

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

async function createFixture() {
  const clock = new SystemClock();
  const createOptions = (incarnation: string) => ({
    identity: { incarnation, failureDomain: "gent-a", fleetToken: "token" },
    ...{ clock, memory: new MemoryBudget({ clock, capacityBytes: 9_000_000 }) },
  });
  const server = new PeerServer({
    ...createOptions("server"),
    handleCall: async () => {
      await wait(200);
      const body = Buffer.alloc(REPLY_BYTES, "b");
      return ok({
        ...{ status: 200, contentType: "", body },
        ...{ unusedAllowance: 0, loads: [] },
      });
    },
    reportError: () => undefined,
  });
  await server.listen(ADDRESS, PEER_PORT);
  const sockets: Socket[] = [];
  const options = createOptions("client");
  const client = new PeerClient({ address: ADDRESS, peerPort: PEER_PORT }, {
    ...options,
    dial: ({ address, peerPort }) => {
      const socket = connect({ host: address, port: peerPort });
      sockets.push(socket);
      return socket;
    },
  });
  const call = () =>
    client.call(
      createPeerCall("/", { remainingMs: 5_000 }),
      new Uint8Array(0),
      {
        signal: new CallController().signal,
        memory: new HeldMemory(options.memory),
      },
    );
  return { call, client, server, sockets };
}

// Guards against a reset by the end of a daemon, which discards replies that another daemon has not read yet.
test("replies that a busy peer has not read arrive though it sends on", async () => {
  const { call, client, server, sockets } = await createFixture();
  const calls = Array.from({ length: CALLS }, call);
  await wait(100);
  sockets.forEach((socket) => socket.pause());
  await wait(300);
  const closed = server.close();
  void call();
  await wait(200);
  sockets.forEach((socket) => socket.resume());
  const results = await Promise.all(calls);
  assert.is(results.filter((result) => result.isOk()).length, CALLS);
  await closed;
  client.close();
});

test.run();
