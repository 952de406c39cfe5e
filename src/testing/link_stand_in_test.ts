import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "./claim_network.ts";
import { LinkStandIn } from "./link_stand_in.ts";

interface Context {
  server: Server;
  link: LinkStandIn;
}

const NETWORK = await claimNetwork();
const ROUTE = {
  listenAddress: `127.${NETWORK}.1.2`,
  listenPort: 7301,
  targetAddress: `127.${NETWORK}.1.1`,
  targetPort: 7300,
};

const test = suite<Context>("link stand-in");

test.before.each(async (context) => {
  context.server = createServer((socket) => socket.pipe(socket));
  context.server.listen(ROUTE.targetPort, ROUTE.targetAddress);
  await once(context.server, "listening");
  context.link = new LinkStandIn({ oneWayDelayMs: 2 });
  await context.link.open(ROUTE);
});

test.after.each(({ server, link }) => {
  link.close();
  server.close();
});

async function dial(): Promise<Socket> {
  const socket = connect({ host: ROUTE.listenAddress, port: ROUTE.listenPort });
  socket.on("error", () => undefined);
  await once(socket, "connect");
  return socket;
}

async function echo(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [bytes] = await once(socket, "data");
  return String(bytes);
}

test("a flow relays bytes in both directions and counts them", async ({ link }) => {
  const socket = await dial();
  assert.is(await echo(socket, "hello"), "hello");
  assert.is(link.forward.sentBytes, 5);
  assert.is(link.backward.sentBytes, 5);
  socket.destroy();
});

test("silenced flows stay open but relay nothing, while a new flow works", async ({ link }) => {
  const silent = await dial();
  await echo(silent, "before");
  link.silenceFlows();
  let received = "";
  silent.on("data", (bytes) => received += String(bytes));
  silent.write("held back");
  const fresh = await dial();
  assert.is(await echo(fresh, "fresh"), "fresh");
  assert.is(received, "");
  assert.not(silent.destroyed);
  silent.destroy();
  fresh.destroy();
});

test("flows silenced for good are not resumed, while a new flow works", async ({ link }) => {
  const silent = await dial();
  await echo(silent, "before");
  link.silenceFlowsForGood();
  let received = "";
  silent.on("data", (bytes) => received += String(bytes));
  silent.write("lost");
  link.resumeFlows();
  const fresh = await dial();
  assert.is(await echo(fresh, "fresh"), "fresh");
  assert.is(received, "");
  assert.not(silent.destroyed);
  silent.destroy();
  fresh.destroy();
});

test("after a hold new flows work at once, and older ones deliver everything in order when they resume", async ({ link }) => {
  const older = await dial();
  await echo(older, "before");
  older.write("in transit ");
  await new Promise((resolve) => setTimeout(resolve, 1));
  link.hold();
  older.write("held back");
  const during = await dial();
  let received = "";
  older.on("data", (bytes) => received += String(bytes));
  during.write("opened during the hold");
  link.endHold();
  const [bytes] = await once(during, "data");
  assert.is(String(bytes), "opened during the hold");
  assert.is(received, "");
  link.resumeFlows();
  while (received.length < "in transit held back".length) {
    await once(older, "data");
  }
  assert.is(received, "in transit held back");
  older.destroy();
  during.destroy();
});

test("a reset of one side resets the other, and an end does not", async ({ link, server }) => {
  for (const isReset of [true, false]) {
    const accepted = once(server, "connection");
    const socket = await dial();
    const [target] = await accepted;
    await echo(socket, "before");
    const errors: (string | undefined)[] = [];
    socket.on("error", ({ code }: NodeJS.ErrnoException) => errors.push(code));
    socket.resume();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    if (isReset) {
      target.resetAndDestroy();
    } else {
      target.end();
    }
    await closed;
    assert.equal(errors, isReset ? ["ECONNRESET"] : []);
  }
  assert.is(link.flowCount, 0);
});

test("cutting the link closes its flows and rejects new ones until it is restored", async ({ link }) => {
  const first = await dial();
  await echo(first, "before");
  const ended = once(first, "close");
  link.cut();
  await ended;
  const refused = await dial();
  await once(refused, "close");
  link.restore();
  const last = await dial();
  assert.is(await echo(last, "after"), "after");
  last.destroy();
});

test.run();
