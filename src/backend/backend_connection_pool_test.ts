import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

const IDLE_MS = 300;

/** A server that can drop its connections without notice: it resets them when the next request arrives. */
async function createDroppingServer() {
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
    countConnections: () => opened,
    dropConnections: () =>
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

test("after one connection was dropped while idle, other idle ones are not reused", async () => {
  const server = await createDroppingServer();
  const clock = new ManualClock();
  const connections = new BackendConnectionPool(clock);
  const exchange = () => connections.exchange(server.origin, createExchange());
  await Promise.all([exchange(), exchange(), exchange()]);
  assert.is(server.countConnections(), 3);
  clock.advance(IDLE_MS);
  server.dropConnections();
  const outcomes: boolean[] = [];
  for (let call = 0; call < 3; call += 1) {
    outcomes.push((await exchange()).isOk());
    clock.advance(IDLE_MS);
  }
  assert.equal(outcomes, [false, true, true]);
  await connections.close();
  server.close();
});

test("a connection idle for longer than the limit is not reused", async () => {
  const server = await createDroppingServer();
  const clock = new ManualClock();
  const connections = new BackendConnectionPool(clock);
  const options = { maxIdleMs: 100 };
  for (const idleMs of [50, 150]) {
    await connections.exchange(server.origin, createExchange(), options);
    clock.advance(idleMs);
  }
  await connections.exchange(server.origin, createExchange(), options);
  assert.is(server.countConnections(), 2);
  await connections.close();
  server.close();
});

test.run();
