import { createServer } from "node:net";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { probePort } from "./probe_port.ts";

const HOST = `127.${await claimNetwork()}.1.1`;
const PORT = 7_000;

/** Runs a test beside a server that treats its connections as given. */
async function withServer(
  handle: (socket: Socket) => void,
  run: () => Promise<void>,
): Promise<void> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    handle(socket);
  });
  await new Promise<void>((resolve) => server.listen(PORT, HOST, resolve));
  try {
    await run();
  } finally {
    sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => server.close(resolve));
  }
}

test("a port without a listener is refused", async () => {
  assert.is(await probePort(HOST, PORT), "refused");
});

test("a port that keeps the connection open is open", async () => {
  await withServer(() => undefined, async () => {
    assert.is(await probePort(HOST, PORT), "open");
  });
});

for (const close of ["destroy", "resetAndDestroy", "end"] as const) {
  test(`a port that accepts and closes at once, as a proxy without a server does, is refused: ${close}`, async () => {
    await withServer((socket) => void socket[close](), async () => {
      assert.is(await probePort(HOST, PORT), "refused");
    });
  });
}

test.run();
