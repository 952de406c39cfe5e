import { connect } from "node:net";
import { once } from "node:events";
import { Buffer } from "node:buffer";
import { request } from "undici";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { encodeFrame } from "../peer/encode_frame.ts";
import { createIdentityProof } from "../peer/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { SmallFleet } from "../testing/small_fleet.ts";
import { TestCaller } from "../testing/test_caller.ts";

interface Context {
  fleet: SmallFleet;
  caller: TestCaller;
  address: string;
}

const MAX_BODY_BYTES = 1_048_576;
const PEER_PORT = 7102;
const BACKEND_PORT = 7101;

const test = suite<Context>("bad input");

test.before(async (context) => {
  const network = await claimNetwork();
  context.address = `127.${network}.1.1`;
  context.caller = new TestCaller();
  context.fleet = new SmallFleet({
    vms: ["stock", "price-sheets"].map((service, index) => ({
      service,
      address: `127.${network}.1.${index + 1}`,
    })),
    storeAddress: `127.${network}.1.200`,
  });
  await context.fleet.start();
});

test.after(async ({ caller, fleet }) => {
  await caller.close();
  await fleet.stop();
});

test.after.each(async ({ caller, fleet }) => {
  const { outcome } = await caller.send({
    entryUrl: fleet.entryUrl(0),
    service: "price-sheets",
    method: "GET",
    path: "/sheets/1",
    requestId: "still-served",
    member: "member-1",
    timeoutMs: 5_000,
  });
  assert.is(outcome, "answered");
});

async function sendRaw(
  { fleet }: Context,
  options: { headers?: Record<string, string>; body?: Uint8Array },
) {
  const response = await request(
    `${fleet.entryUrl(0)}/call/price-sheets/sheets/1`,
    {
      method: options.body ? "POST" : "GET",
      headers: options.headers ?? {},
      body: options.body ?? null,
    },
  );
  const { outcome, reason } = await response.body.json() as {
    outcome: string;
    reason: string;
  };
  return { status: response.statusCode, outcome, reason };
}

test("a header over the limit is refused", async (context) => {
  const headers = { "celeryhollow-member": "m".repeat(600) };
  assert.equal(await sendRaw(context, { headers }), {
    status: 400,
    outcome: "refused-not-run",
    reason: "invalid-request",
  });
});

test("a malformed request id is refused", async (context) => {
  const headers = { "celeryhollow-request-id": "no spaces" };
  assert.is((await sendRaw(context, { headers })).reason, "invalid-request");
});

test("a deadline that is not a number is refused", async (context) => {
  const headers = { "celeryhollow-deadline-ms": "soon" };
  assert.is((await sendRaw(context, { headers })).reason, "invalid-request");
});

test("a body over the limit is refused", async (context) => {
  const body = new Uint8Array(MAX_BODY_BYTES + 1);
  assert.equal(await sendRaw(context, { body }), {
    status: 413,
    outcome: "refused-not-run",
    reason: "body-too-large",
  });
});

test("a malformed path is refused", async ({ fleet }) => {
  const response = await request(`${fleet.entryUrl(0)}/call/%ff/x`);
  await response.body.dump();
  assert.is(response.statusCode, 400);
  assert.is(response.headers["celeryhollow-outcome"], "refused-not-run");
});

test("a malformed announcement is rejected with the name of its invalid field and changes nothing", async ({ address, fleet }) => {
  const response = await request(
    `http://${address}:${BACKEND_PORT}/backend/announcement`,
    {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ service: "stock", port: 0 }),
    },
  );
  const { error } = await response.body.json() as { error: string };
  assert.is(response.statusCode, 400);
  assert.match(error, /slots|port/);
  const { announcement } = fleet.daemons[0]?.environment.backend ?? {};
  assert.is(announcement?.port, 7200);
});

async function sendNested(address: string, headers: Record<string, string>) {
  const response = await request(
    `http://${address}:${BACKEND_PORT}/call/price-sheets/sheets/1`,
    { headers },
  );
  await response.body.dump();
  const { "celeryhollow-outcome": outcome } = response.headers;
  return { status: response.statusCode, outcome };
}

test("a nested call without a call token is refused", async ({ address }) => {
  assert.equal(await sendNested(address, {}), {
    status: 400,
    outcome: "refused-not-run",
  });
});

test("a nested call of an ended call has an unknown outcome, since it may have run before", async ({ address }) => {
  assert.equal(await sendNested(address, { "celeryhollow-call": "ended" }), {
    status: 504,
    outcome: "unknown",
  });
});

test("a corrupt frame closes the connection", async ({ address }) => {
  assert.ok(await isClosedAfter(address, Buffer.from([0, 0, 0, 2, 0x1a, 1])));
});

test("a peer with another protocol version is rejected", async ({ address }) => {
  const incarnation = "stranger";
  const hello = encodeFrame({
    kind: "hello",
    protocolVersion: 99,
    incarnation,
    failureDomain: "gent-a",
    proof: createIdentityProof("test-token", incarnation),
  });
  assert.ok(await isClosedAfter(address, hello));
});

test("a peer without the fleet token is rejected", async ({ address }) => {
  const incarnation = "stranger";
  const hello = encodeFrame({
    kind: "hello",
    protocolVersion: 1,
    incarnation,
    failureDomain: "gent-a",
    proof: createIdentityProof("another-token", incarnation),
  });
  assert.ok(await isClosedAfter(address, hello));
});

async function isClosedAfter(address: string, bytes: Buffer): Promise<boolean> {
  const socket = connect({ host: address, port: PEER_PORT });
  socket.on("error", () => undefined);
  socket.resume();
  socket.write(bytes);
  await once(socket, "close");
  return true;
}

// Guards against a daemon that keeps all of an announcement without end.
test("an announcement without end is refused after a bounded number of bytes", async ({ address }) => {
  const socket = connect(BACKEND_PORT, address);
  socket.on("error", () => undefined);
  socket.write(
    "PUT /backend/announcement HTTP/1.1\r\nhost: a\r\n" +
      "transfer-encoding: chunked\r\n\r\n",
  );
  const response = once(socket, "data");
  const chunk = `4000\r\n${"a".repeat(0x4000)}\r\n`;
  const timer = setInterval(() => socket.write(chunk), 5);
  const [text] = await response;
  clearInterval(timer);
  socket.destroy();
  assert.match(text.toString(), /^HTTP.1.1 400 /);
});

test.run();
