import { Buffer } from "node:buffer";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { ok } from "neverthrow";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { CallController } from "../cancellation/mod.ts";
import { HeldMemory, MemoryBudget } from "../memory/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import { SystemClock } from "../time/mod.ts";
import { PeerClient } from "./peer_client.ts";
import { PeerServer } from "./peer_server.ts";

const ADDRESS = `127.${await claimNetwork()}.1.1`;
const PEER_PORT = 7102;
const BODY_BYTES = 1_000_000;
const CAPACITY_BYTES = 4_000_000;

const test = suite("paced bodies");

interface FixtureOptions {
  readonly serverCapacityBytes?: number;
  readonly clientCapacityBytes?: number;
}

async function createFixture(
  {
    serverCapacityBytes = CAPACITY_BYTES,
    clientCapacityBytes = CAPACITY_BYTES,
  }: FixtureOptions = {},
) {
  const clock = new SystemClock();
  const errors: string[] = [];
  const bodyLengths: number[] = [];
  const createOptions = (incarnation: string, capacityBytes: number) => ({
    identity: { incarnation, failureDomain: "gent-a", fleetToken: "token" },
    ...{ clock, memory: new MemoryBudget({ clock, capacityBytes }) },
  });
  const serverOptions = createOptions("server", serverCapacityBytes);
  const clientOptions = createOptions("client", clientCapacityBytes);
  const server = new PeerServer({
    ...serverOptions,
    handleCall: (call, { body, memory }) => {
      bodyLengths.push(body.length);
      const replyBytes = Number(call.path.slice(1));
      memory.force(replyBytes);
      return Promise.resolve(createAnswer(replyBytes));
    },
    reportError: (error) => errors.push(error.message),
  });
  await server.listen(ADDRESS, PEER_PORT);
  const sockets: Socket[] = [];
  const client = new PeerClient({ address: ADDRESS, peerPort: PEER_PORT }, {
    ...clientOptions,
    dial: ({ address, peerPort }) => {
      const socket = connect({ host: address, port: peerPort });
      sockets.push(socket);
      return socket;
    },
  });
  const call = (
    replyBytes: number,
    { bodyBytes = 0, remainingMs = 5_000 } = {},
  ) => {
    const memory = new HeldMemory(clientOptions.memory);
    const controller = new CallController();
    const result = client.call(
      {
        ...createPeerCall(`/${replyBytes}`, { remainingMs }),
        bodyLengthBytes: bodyBytes,
      },
      Buffer.alloc(bodyBytes, 1),
      { signal: controller.signal, memory },
    );
    return { result, memory, cancel: () => controller.abort() };
  };
  const close = async () => {
    client.close();
    await server.close();
  };
  return {
    ...{ bodyLengths, call, close, errors, sockets },
    server: serverOptions.memory,
    client: clientOptions.memory,
  };
}

function createAnswer(bytes: number): CallResult {
  return ok({
    ...{ status: 200, contentType: "", unusedAllowance: 0, loads: [] },
    body: Buffer.alloc(bytes, 2),
  });
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

// Guards against a connection that is closed, with all calls on it, since replies queue up for a daemon that is only busy.
test("replies that the receiver has no memory for wait, and hold up no other call", async () => {
  const fixture = await createFixture({ serverCapacityBytes: 100_000_000 });
  const calls = Array.from({ length: 60 }, () => fixture.call(BODY_BYTES));
  // No memory is released yet, so that three of the replies are accepted.
  await Promise.all(calls.slice(0, 3).map(({ result }) => result));
  assert.is((await fixture.call(10).result)._unsafeUnwrap().body.length, 10);
  assert.is(fixture.client.heldBytes, 3 * BODY_BYTES);
  await Promise.all(calls.map(async ({ result, memory }) => {
    assert.is((await result)._unsafeUnwrap().body.length, BODY_BYTES);
    memory.release();
  }));
  await fixture.close();
  assert.equal(fixture.errors, []);
  assert.is(fixture.sockets.length, 1);
  assert.is(fixture.client.heldBytes, 0);
  assert.is(fixture.server.heldBytes, 0);
});

// Guards against a daemon that receives more than its memory holds, from many daemons at once.
test("a call whose body finds no memory is refused as not run, and nothing of it is received", async () => {
  const fixture = await createFixture();
  fixture.server.force(CAPACITY_BYTES);
  const refused = await fixture.call(1, {
    ...{ bodyBytes: BODY_BYTES, remainingMs: 400 },
  }).result;
  const failure = refused._unsafeUnwrapErr();
  assert.is(failure.kind, "refused");
  assert.is(failure.reason, "memory-full");
  assert.ok(failure.kind === "refused" && failure.retryAfterMs > 0);
  fixture.server.release(CAPACITY_BYTES);
  const served = await fixture.call(1, { bodyBytes: BODY_BYTES }).result;
  assert.ok(served.isOk());
  await fixture.close();
  assert.equal(fixture.bodyLengths, [BODY_BYTES]);
  assert.equal(fixture.errors, []);
});

// Guards against memory that stays reserved for calls that were given up while their bodies waited or were on their way.
test("cancelled calls give back what they held on both sides", async () => {
  const fixture = await createFixture();
  const replies = Array.from({ length: 20 }, () => fixture.call(BODY_BYTES));
  const uploads = Array.from(
    { length: 20 },
    () => fixture.call(1, { bodyBytes: BODY_BYTES }),
  );
  await wait(20);
  for (const { result, cancel, memory } of [...replies, ...uploads]) {
    cancel();
    await result;
    memory.release();
  }
  assert.ok((await fixture.call(10).result).isOk());
  await wait(50);
  assert.is(fixture.client.heldBytes, 0);
  assert.is(fixture.server.heldBytes, 0);
  await fixture.close();
  assert.equal(fixture.errors, []);
});

// Guards against memory that stays reserved for calls whose connection was lost.
test("a lost connection gives back what its calls held", async () => {
  const fixture = await createFixture();
  const calls = Array.from(
    { length: 20 },
    () => fixture.call(BODY_BYTES, { bodyBytes: BODY_BYTES }),
  );
  await wait(20);
  fixture.sockets[0]?.destroy();
  for (const { result, memory } of calls) {
    await result;
    memory.release();
  }
  await wait(50);
  assert.is(fixture.client.heldBytes, 0);
  assert.is(fixture.server.heldBytes, 0);
  await fixture.close();
});

test.run();
