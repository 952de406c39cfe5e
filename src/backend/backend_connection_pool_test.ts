import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

const REST_MS = 300;

/** A server that can forget its connections without a word: what comes on one next is reset. */
async function createForgetfulServer() {
  const sockets = new Set<Socket>();
  const server = createServer((_request, response) => response.end("done"));
  let opened = 0;
  server.on("connection", (socket) => {
    opened += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    countOpened: () => opened,
    forget: () =>
      sockets.forEach((socket) => {
        socket.removeAllListeners("data");
        socket.on("data", () => socket.resetAndDestroy());
      }),
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

function createExchange() {
  return {
    ...{ method: "GET", path: "/", headers: [], maxBodyBytes: 1_000 },
    body: new Uint8Array(0),
    signal: new AbortController().signal,
  };
}

test("after one connection was dropped while idle, others that rested are not used", async () => {
  const server = await createForgetfulServer();
  const clock = new ManualClock();
  const connections = new BackendConnectionPool(clock);
  const exchange = () => connections.exchange(server.origin, createExchange());
  await Promise.all([exchange(), exchange(), exchange()]);
  assert.is(server.countOpened(), 3);
  clock.advance(REST_MS);
  server.forget();
  const outcomes: boolean[] = [];
  for (let call = 0; call < 3; call += 1) {
    outcomes.push((await exchange()).isOk());
    clock.advance(REST_MS);
  }
  assert.equal(outcomes, [false, true, true]);
  await connections.close();
  server.close();
});

test("a connection that rested for longer than allowed is not used", async () => {
  const server = await createForgetfulServer();
  const clock = new ManualClock();
  const connections = new BackendConnectionPool(clock);
  const options = { maxIdleMs: 100 };
  for (const restMs of [50, 150]) {
    await connections.exchange(server.origin, createExchange(), options);
    clock.advance(restMs);
  }
  await connections.exchange(server.origin, createExchange(), options);
  assert.is(server.countOpened(), 2);
  await connections.close();
  server.close();
});

test.run();
