import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, createServer } from "node:net";
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
const PROXY_PORT = 7103;
const BODY_BYTES = 1_000_000;
const CAPACITY_BYTES = 4_000_000;

const test = suite("paced bodies");

interface FixtureOptions {
  readonly serverCapacityBytes?: number;
  readonly clientCapacityBytes?: number;
  /** Duration of each run, in milliseconds. */
  readonly runMs?: number;
  /** Delay of all that the server sends after its hello, in milliseconds. */
  readonly replyDelayMs?: number;
}

async function createFixture(
  {
    serverCapacityBytes = CAPACITY_BYTES,
    clientCapacityBytes = CAPACITY_BYTES,
    runMs = 0,
    replyDelayMs = 0,
  }: FixtureOptions = {},
) {
  const clock = new SystemClock();
  const errors: string[] = [];
  const bodyLengths: number[] = [];
  const progress = { count: 0 };
  const createOptions = (incarnation: string, capacityBytes: number) => ({
    identity: { incarnation, failureDomain: "gent-a", fleetToken: "token" },
    ...{ clock, memory: new MemoryBudget({ clock, capacityBytes }) },
  });
  const serverOptions = createOptions("server", serverCapacityBytes);
  const clientOptions = createOptions("client", clientCapacityBytes);
  const server = new PeerServer({
    ...serverOptions,
    handleCall: async (call, { body, memory }) => {
      bodyLengths.push(body.length);
      // As the run of a non-repeatable call, without regard to the signal.
      await wait(runMs);
      const replyBytes = Number(call.path.slice(1));
      memory.force(replyBytes);
      return createAnswer(replyBytes);
    },
    track: async (serve) => {
      progress.count += 1;
      await serve();
      progress.count -= 1;
    },
    reportError: (error) => errors.push(error.message),
  });
  await server.listen(ADDRESS, PEER_PORT);
  const proxy = await openProxy(replyDelayMs);
  const sockets: Socket[] = [];
  const client = new PeerClient({ address: ADDRESS, peerPort: PEER_PORT }, {
    ...clientOptions,
    dial: ({ address }) => {
      const socket = connect({ host: address, port: PROXY_PORT });
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
    proxy.close();
    await server.close();
  };
  return {
    ...{ bodyLengths, call, close, errors, progress, sockets },
    pauseProxy: proxy.pause,
    server: serverOptions.memory,
    client: clientOptions.memory,
  };
}

// Guards against memory that stays reserved for replies that nobody waits for any more.
test("a run that goes on after its call was cancelled gives back its memory", async () => {
  const fixture = await createFixture({ runMs: 200 });
  assert.ok((await fixture.call(10).result).isOk());
  const calls = Array.from({ length: 5 }, () => fixture.call(BODY_BYTES));
  await wait(50);
  for (const { result, cancel, memory } of calls) {
    cancel();
    await result;
    memory.release();
  }
  await wait(600);
  assert.is(fixture.bodyLengths.length, 6);
  assert.is(fixture.server.heldBytes, 0);
  await fixture.close();
});

// Guards against a call that runs and is refused as not run, since its body came without waiting for memory.
test("a call whose body arrives without a grant is not refused once it runs", async () => {
  const fixture = await createFixture({ runMs: 1_500, replyDelayMs: 700 });
  fixture.server.force(CAPACITY_BYTES);
  const result = await fixture.call(10, { bodyBytes: BODY_BYTES }).result;
  assert.equal(fixture.bodyLengths, [BODY_BYTES]);
  assert.ok(result.isOk());
  await wait(50);
  assert.is(fixture.server.heldBytes, CAPACITY_BYTES);
  await fixture.close();
});

// Guards against small replies that queue up without being counted, for a peer that does not read.
test("replies count until the system has taken them", async () => {
  const fixture = await createFixture();
  assert.ok((await fixture.call(10).result).isOk());
  fixture.pauseProxy();
  const calls = Array.from({ length: 600 }, () => fixture.call(60_000));
  await wait(1_000);
  // The system's buffers of the connections take some of them.
  assert.ok(fixture.server.heldBytes > 10_000_000);
  await fixture.close();
  await Promise.all(calls.map(({ result }) => result));
});

// Guards against a planned stop that cuts off responses for which their receiver has no memory yet.
test("a call is in progress until its reply has been sent", async () => {
  const fixture = await createFixture();
  fixture.client.force(CAPACITY_BYTES);
  const { result } = fixture.call(BODY_BYTES);
  await wait(100);
  assert.is(fixture.bodyLengths.length, 1);
  assert.is(fixture.progress.count, 1);
  fixture.client.release(CAPACITY_BYTES);
  assert.ok((await result).isOk());
  await wait(20);
  assert.is(fixture.progress.count, 0);
  await fixture.close();
});

/** Opens a proxy to the server that delays all that the server sends after its hello. */
async function openProxy(replyDelayMs: number) {
  const farSockets = new Set<Socket>();
  const proxy = createServer((near) => {
    const far = connect({ host: ADDRESS, port: PEER_PORT });
    farSockets.add(far);
    let isHello = true;
    near.pipe(far);
    far.on("data", (bytes) => {
      setTimeout(() => near.write(bytes), isHello ? 0 : replyDelayMs);
      isHello = false;
    });
    near.on("error", () => far.destroy());
    near.on("close", () => far.destroy());
    far.on("error", () => near.destroy());
    far.on("close", () => near.destroy());
  });
  proxy.listen(PROXY_PORT, ADDRESS);
  await once(proxy, "listening");
  return {
    pause: () => farSockets.forEach((far) => far.pause()),
    close: () => proxy.close(),
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
