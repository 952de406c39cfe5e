import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { ok } from "neverthrow";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { CallSignal } from "../cancellation/mod.ts";
import { HEARTBEAT_INTERVAL_MS } from "../constants/mod.ts";
import type { CallMessage } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import { createTestBudget } from "../testing/create_test_memory.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createPeerCall } from "../testing/create_peer_call.ts";
import { LinkStandIn } from "../testing/link_stand_in.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { PeerClient } from "./peer_client.ts";
import type { ConnectionReplacement } from "./peer_connection_handler.ts";
import { PeerServer } from "./peer_server.ts";

interface PendingCall {
  readonly call: CallMessage;
  readonly signal: CallSignal;
  readonly answer: () => void;
}

interface Context {
  clock: ManualClock;
  link: LinkStandIn;
  server: PeerServer;
  client: PeerClient;
  pending: PendingCall[];
  replacements: ConnectionReplacement[];
}

const NETWORK = await claimNetwork();
const SERVER_ADDRESS = `127.${NETWORK}.2.1`;
const LINK_ADDRESS = `127.${NETWORK}.2.2`;
const PEER_PORT = 7302;
const SILENCE_MS = 1_250;
/** Time within which a connection that no longer delivers has to be replaced while another one works. */
const REPLACED_WITHIN_MS = 750;
/** Real time in which the sockets of this process exchange their messages. */
const NETWORK_MS = 20;
/** Real time for which a daemon sends nothing; much longer than {@link REPLACED_WITHIN_MS} takes on the manual clock. */
const PAUSE_MS = 300;
const EMPTY_BODY = new Uint8Array(0);

const test = suite<Context>("silent connections");

test.before.each(async (context) => {
  context.clock = new ManualClock();
  context.pending = [];
  context.replacements = [];
  context.link = new LinkStandIn();
  const options = {
    identity: {
      incarnation: "one",
      failureDomain: "gent-a",
      fleetToken: "token",
    },
    clock: context.clock,
    memory: createTestBudget(),
  };
  context.server = new PeerServer({
    ...options,
    handleCall: (call, { signal }) =>
      new Promise((resolve) =>
        context.pending.push({
          call,
          signal,
          answer: () => resolve(createAnswer(call.path)),
        })
      ),
    reportError: () => undefined,
  });
  await context.server.listen(SERVER_ADDRESS, PEER_PORT);
  await context.link.open({
    listenAddress: LINK_ADDRESS,
    listenPort: PEER_PORT,
    targetAddress: SERVER_ADDRESS,
    targetPort: PEER_PORT,
  });
  context.client = new PeerClient(
    { address: SERVER_ADDRESS, peerPort: PEER_PORT },
    {
      ...options,
      dial: ({ peerPort }) => connect({ host: LINK_ADDRESS, port: peerPort }),
      reportReplacement: (replacement) =>
        context.replacements.push(replacement),
    },
  );
});

test.after.each(({ client, server, link }) => {
  client.close();
  server.close();
  link.close();
});

function createAnswer(path: string): CallResult {
  return ok({
    status: 200,
    contentType: "text/plain",
    body: Buffer.from(`answer to ${path}`),
    unusedAllowance: 0,
    loads: [],
  });
}

/** Polls in real time, since sockets do not follow the manual clock. */
async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

function send(
  { client }: Context,
  path: string,
  options: { failsWhenSilent?: boolean; isRepeatable?: boolean } = {},
): Promise<CallResult> {
  const { isRepeatable = true, failsWhenSilent = false } = options;
  return client.call(createPeerCall(path, { isRepeatable }), EMPTY_BODY, {
    signal: new AbortController().signal,
    failsWhenSilent,
  });
}

function advanceInIntervals(clock: ManualClock, durationMs: number): void {
  for (let passedMs = 0; passedMs < durationMs;) {
    clock.advance(HEARTBEAT_INTERVAL_MS);
    passedMs += HEARTBEAT_INTERVAL_MS;
  }
}

/** Advances the clock and lets the sockets work after each interval. */
async function advanceWithNetwork(
  clock: ManualClock,
  durationMs: number,
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs;) {
    clock.advance(HEARTBEAT_INTERVAL_MS);
    passedMs += HEARTBEAT_INTERVAL_MS;
    await new Promise((resolve) => setTimeout(resolve, NETWORK_MS));
  }
}

function readText(result: CallResult): string {
  return result.isOk()
    ? Buffer.from(result.value.body).toString()
    : `${result.error.kind}: ${result.error.reason}`;
}

test("new calls use a new connection at once, and late replies on the old one are accepted", async (context) => {
  const { clock, pending, link, replacements } = context;
  const first = send(context, "/first", { isRepeatable: false });
  await waitUntil(() => pending.length === 1);
  link.silenceFlows();
  advanceInIntervals(clock, SILENCE_MS);
  assert.equal(replacements.map(({ pendingCalls }) => pendingCalls), [1]);
  const second = send(context, "/second");
  await waitUntil(() => pending.length === 2);
  pending[1]?.answer();
  assert.is(readText(await second), "answer to /second");
  pending[0]?.answer();
  link.resumeFlows();
  assert.is(readText(await first), "answer to /first");
});

test("replies reach their own call although both connections use the same call ids", async (context) => {
  const { clock, pending, link } = context;
  const first = send(context, "/first", { isRepeatable: false });
  await waitUntil(() => pending.length === 1);
  link.silenceFlows();
  advanceInIntervals(clock, SILENCE_MS);
  const second = send(context, "/second");
  await waitUntil(() => pending.length === 2);
  assert.equal(pending.map(({ call }) => call.callId), [1, 1]);
  pending[0]?.answer();
  link.resumeFlows();
  assert.is(readText(await first), "answer to /first");
  pending[1]?.answer();
  assert.is(readText(await second), "answer to /second");
});

// Guards against calls that wait on a silent connection for longer than callers do: their time limits begin at 0.7 s.
test("a silent connection is replaced as soon as another one to the same daemon works", async (context) => {
  const { clock, pending, link, replacements } = context;
  const outcomes: string[] = [];
  void send(context, "/first", { failsWhenSilent: true })
    .then((result) => outcomes.push(readText(result)));
  await waitUntil(() => pending.length === 1);
  // A message of the server that is still under way would be taken for the answer to the first heartbeat.
  await new Promise((resolve) => setTimeout(resolve, NETWORK_MS));
  link.silenceFlows();
  await advanceWithNetwork(clock, REPLACED_WITHIN_MS);
  assert.equal(outcomes, ["unknown: connection-lost"]);
  assert.equal(replacements.map(({ isProven }) => isProven), [true]);
});

// Guards against taking a paused daemon for a silent connection: then a second connection stays silent too.
test("a connection to a daemon that answers late is kept, and so is the call on it", async (context) => {
  const { clock, pending, link, replacements } = context;
  const outcome = send(context, "/first", { failsWhenSilent: true });
  await waitUntil(() => pending.length === 1);
  link.backward.oneWayDelayMs = PAUSE_MS;
  await advanceWithNetwork(clock, REPLACED_WITHIN_MS);
  link.backward.oneWayDelayMs = 0;
  pending[0]?.answer();
  assert.is(readText(await outcome), "answer to /first");
  assert.is(replacements.length, 0);
});

test("a call with failsWhenSilent fails as soon as its connection becomes silent", async (context) => {
  const { clock, pending, link } = context;
  const outcome = send(context, "/first", { failsWhenSilent: true });
  await waitUntil(() => pending.length === 1);
  link.silenceFlows();
  advanceInIntervals(clock, SILENCE_MS);
  assert.is(readText(await outcome), "unknown: connection-lost");
});

test("calls on a connection that stays silent end with an unknown outcome", async (context) => {
  const { clock, pending, link } = context;
  const outcome = send(context, "/first", { isRepeatable: false });
  await waitUntil(() => pending.length === 1);
  link.silenceFlows();
  advanceInIntervals(clock, 6_000);
  assert.is(readText(await outcome), "unknown: connection-lost");
  assert.is((await outcome)._unsafeUnwrapErr().unusedAllowance, 0);
});

test("an idle connection is not replaced", async (context) => {
  const { clock, pending, replacements } = context;
  const first = send(context, "/first");
  await waitUntil(() => pending.length === 1);
  pending[0]?.answer();
  await first;
  advanceInIntervals(clock, 5_000);
  assert.is(replacements.length, 0);
});

test("losing the connection cancels repeatable calls and lets the others finish", async (context) => {
  const { pending, link } = context;
  const outcomes = [
    send(context, "/repeatable"),
    send(context, "/once", { isRepeatable: false }),
  ];
  await waitUntil(() => pending.length === 2);
  link.cut();
  await waitUntil(() => pending.some(({ signal }) => signal.aborted));
  assert.equal(
    pending.map(({ call, signal }) => [call.path, signal.aborted]),
    [["/repeatable", true], ["/once", false]],
  );
  await Promise.all(outcomes);
});

test("a cancelled call returns no allowance, since some may have been spent", async (context) => {
  const { client, pending } = context;
  const controller = new AbortController();
  const outcome = client.call(createPeerCall("/first"), EMPTY_BODY, {
    signal: controller.signal,
  });
  await waitUntil(() => pending.length === 1);
  controller.abort();
  await waitUntil(() => pending[0]?.signal.aborted ?? false);
  const failure = (await outcome)._unsafeUnwrapErr();
  assert.equal([failure.kind, failure.unusedAllowance], ["unknown", 0]);
});

test("a call is refused if no connection can be opened, since nothing was sent", async (context) => {
  context.link.cut();
  const result = await send(context, "/first");
  assert.is(readText(result), "refused: connect-failed");
  assert.is(result._unsafeUnwrapErr().unusedAllowance, 3);
});

test.run();
