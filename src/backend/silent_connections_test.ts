import { EventEmitter, once } from "node:events";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

/** Wait of a request that is long for a server that answers at once, in milliseconds. */
const LONG_MS = 150;

/** Real time after which a request that no response ended is aborted, in milliseconds. */
const GUARD_MS = 2_000;

const NETWORK = await claimNetwork();
const SERVER_ADDRESS = `127.${NETWORK}.1.1`;
const LINK_ADDRESS = `127.${NETWORK}.1.2`;
const PORT = 7301;
const HELD_PATH = "/held";

interface Context {
  fixture: Awaited<ReturnType<typeof createFixture>>;
}

/** A server behind a link, which holds its responses to one path back, and a pool of connections to it. */
async function createFixture() {
  const held = new EventEmitter<{ request: [ServerResponse] }>();
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  let opened = 0;
  const server = createServer((request, response) => {
    requests.push(request.url ?? "");
    if (request.url === HELD_PATH) {
      held.emit("request", response);
    } else {
      response.end("done");
    }
  });
  server.on("connection", (socket) => {
    opened += 1;
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(PORT, SERVER_ADDRESS, resolve)
  );
  const link = new LinkStandIn();
  await link.open({
    ...{ listenAddress: LINK_ADDRESS, listenPort: PORT },
    ...{ targetAddress: SERVER_ADDRESS, targetPort: PORT },
  });
  const clock = new ManualClock();
  const pool = new BackendConnectionPool(clock);
  const start = (path = "/") => {
    const controller = new AbortController();
    const guard = setTimeout(() => controller.abort(), GUARD_MS);
    const result = pool.exchange(`http://${LINK_ADDRESS}:${PORT}`, {
      ...{ method: "GET", path, headers: [], maxBodyBytes: 1_000 },
      ...{ body: new Uint8Array(0), signal: controller.signal },
    });
    void result.finally(() => clearTimeout(guard));
    return { result, abort: () => controller.abort() };
  };
  return {
    ...{ link, clock, start, requests, held, countOpened: () => opened },
    /** Opens connections, then lets them idle. */
    warmUp: async (count: number) => {
      const exchanges = Array.from({ length: count }, () => start().result);
      await Promise.all(exchanges);
      clock.advance(10);
    },
    /** Waits until the server has only `count` connections, or {@link GUARD_MS} are over, and returns their number. */
    awaitConnections: async (count: number) => {
      const endsAtMs = performance.now() + GUARD_MS;
      while (sockets.size !== count && performance.now() < endsAtMs) {
        await sleep(1);
      }
      return sockets.size;
    },
    close: async () => {
      await pool.close();
      link.close();
      server.closeAllConnections();
      server.close();
    },
  };
}

const test = suite<Context>("silent connections");

test.before.each(async (context) => {
  context.fixture = await createFixture();
});

test.after.each(({ fixture }) => fixture.close());

// Each silent connection of the pool cost one request its whole time limit, one after the other.
test("while one request waits in silence, the others use new connections", async ({ fixture }) => {
  const { clock, link, start, warmUp, countOpened } = fixture;
  await warmUp(4);
  link.silenceFlows();
  const silent = start();
  clock.advance(LONG_MS);
  for (let call = 0; call < 3; call += 1) {
    assert.ok((await start().result).isOk(), `call ${call}`);
  }
  assert.is(countOpened(), 5);
  silent.abort();
  assert.ok((await silent.result).isErr());
});

// A pool that is seldom used has no second request while the first one waits.
test("after one request ended at its time limit in silence, the next one is served", async ({ fixture }) => {
  const { clock, link, start, warmUp, requests } = fixture;
  await warmUp(4);
  link.silenceFlows();
  const silent = start();
  clock.advance(LONG_MS);
  silent.abort();
  assert.ok((await silent.result).isErr());
  assert.ok((await start().result).isOk());
  assert.is(requests.length, 5, "the silent request is not sent again");
});

// Connections left open would keep their places at a server that limits their number.
test("after one request ended at its time limit in silence, older connections are closed", async ({ fixture }) => {
  const { clock, start, warmUp, awaitConnections } = fixture;
  await warmUp(4);
  const silent = start(HELD_PATH);
  clock.advance(LONG_MS);
  silent.abort();
  assert.ok((await silent.result).isErr());
  assert.is(await awaitConnections(0), 0);
});

// New connections beside doubtful ones could exceed the server's limit, which resets them.
test("a new connection takes the place of a doubtful one", async ({ fixture }) => {
  const { clock, start, warmUp, held, awaitConnections } = fixture;
  await warmUp(4);
  const arrival = once(held, "request");
  const slow = start(HELD_PATH);
  const [response] = await arrival as [ServerResponse];
  clock.advance(LONG_MS);
  await Promise.all([start().result, start().result, start().result]);
  assert.is(await awaitConnections(4), 4);
  response.end("done");
  assert.ok((await slow.result).isOk());
});

// The doubt about old connections must not cost a busy server a new connection for each slow request.
test("one slow response does not replace connections that deliver", async ({ fixture }) => {
  const { clock, start, warmUp, held, countOpened } = fixture;
  await warmUp(4);
  const arrival = once(held, "request");
  const slow = start(HELD_PATH);
  const [response] = await arrival as [ServerResponse];
  clock.advance(LONG_MS - 100);
  assert.ok((await start().result).isOk());
  clock.advance(100);
  await Promise.all([start().result, start().result, start().result]);
  assert.is(countOpened(), 4);
  response.end("done");
  assert.ok((await slow.result).isOk());
});

test.run();
