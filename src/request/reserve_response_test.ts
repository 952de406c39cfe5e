import * as assert from "uvu/assert";
import { suite } from "uvu";
import { CallController } from "../cancellation/mod.ts";
import { HeldMemory, MemoryBudget, RESPONSE_RANK } from "../memory/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { FirstResponses } from "./first_responses.ts";
import type { OutboundCall } from "./outbound_call.ts";
import { reserveResponse } from "./reserve_response.ts";
import { ResponseSizes } from "./response_sizes.ts";

const LARGE_BYTES = 8_000_000;
/** Room for nine responses. */
const CAPACITY_BYTES = 80_000_000;
const TIME_LIMIT_MS = 15_000;
const BURST_COUNT = 48;

const test = suite("reserve response");

function createFixture() {
  const clock = new ManualClock();
  const memory = new MemoryBudget({ clock, capacityBytes: CAPACITY_BYTES });
  const responseSizes = new ResponseSizes();
  const firstResponses = new FirstResponses(clock, responseSizes);
  const environment = { clock, memory, responseSizes, firstResponses };
  const started: OutboundCall[] = [];
  const refusals: Refusal[] = [];
  const send = async ({ isBulk = true, timeLimitMs = TIME_LIMIT_MS } = {}) => {
    const call = {
      context: { requestName: "files", isBulk, retryAllowance: 0 },
      service: "archive",
      classRank: 1,
      deadlineAtMs: clock.monotonicMs() + timeLimitMs,
      memory: new HeldMemory(memory, 1),
      signal: new CallController().signal,
    } as OutboundCall;
    const refusal = await reserveResponse(environment, call, {
      awaitsSize: true,
    });
    if (refusal) {
      refusals.push(refusal);
      call.memory.release();
    } else {
      started.push(call);
    }
  };
  /** Delivers the head of a response; returns whether its body has room at once. */
  const receiveHead = ({ memory: held }: OutboundCall) => {
    held.reportResponseLength(LARGE_BYTES);
    return held.tryReserve(LARGE_BYTES);
  };
  return { ...environment, send, started, refusals, receiveHead };
}

/** Lets settled promises run their continuations. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function sendBurst(send: () => Promise<void>): Promise<void> {
  Array.from({ length: BURST_COUNT }, () => void send());
  return settle();
}

// Guards against a first burst of downloads of which all run, though few responses can be held.
test("of a first burst of downloads, those run whose responses can be held, and the others are refused unsent", async () => {
  const { clock, send, started, refusals, receiveHead } = createFixture();
  await sendBurst(send);
  assert.is(started.length, 4);
  assert.ok(receiveHead(started[0]!));
  await settle();
  assert.is(started.length, 9);
  assert.ok(started.slice(1).every(receiveHead));
  // After a third of their time, the others could not be held as long as the first.
  for (let second = 0; second <= TIME_LIMIT_MS / 3_000; second += 1) {
    clock.advance(1_000);
    await settle();
  }
  assert.is(started.length, 9);
  assert.is(refusals.length, BURST_COUNT - 9);
});

// Guards against a first download that fails and leaves all others waiting.
test("a download that ends without showing its size is followed by the next one", async () => {
  const { send, started, responseSizes } = createFixture();
  await sendBurst(send);
  started[0]!.memory.release();
  await settle();
  assert.is(started.length, 5);
  responseSizes.record(started[1]!, { status: 500, body: new Uint8Array(9) });
  await settle();
  assert.is(started.length, 5);
  responseSizes.record(started[1]!, { status: 200, body: new Uint8Array(9) });
  await settle();
  assert.is(started.length, BURST_COUNT);
});

// Guards against waits of routes that are no downloads, or whose size never becomes known.
test("requests of other routes go at once, and downloads of unknown size wait a quarter of their time", async () => {
  const { clock, send, started, refusals } = createFixture();
  await sendBurst(() => send({ isBulk: false }));
  assert.is(started.length, BURST_COUNT);
  await sendBurst(send);
  clock.advance(TIME_LIMIT_MS / 4 - 1);
  await settle();
  assert.is(refusals.length, 0);
  clock.advance(1);
  await settle();
  assert.is(refusals.length, BURST_COUNT - 4);
});

// Guards against a Retry-After that knows nothing of slow readers, and against runs whose caller can't read the response in time.
test("the time for which responses were held decides when callers return, and whether they wait", async () => {
  const { clock, send, started, refusals, receiveHead } = createFixture();
  await sendBurst(send);
  started.slice(0, 4).forEach(receiveHead);
  await settle();
  clock.advance(8_000);
  await settle();
  started.splice(0).forEach(({ memory }) => memory.release());
  refusals.splice(0);
  await sendBurst(send);
  assert.is(started.length, 9);
  clock.advance(7_500);
  await settle();
  refusals.splice(0);
  // 0.5 s until there is room, and twice 8 s to read, are more than 16 s.
  await send({ timeLimitMs: 16_000 });
  assert.is(refusals.length, 1);
  assert.ok(Math.abs(refusals[0]!.retryAfterMs - 500) < 1);
  void send({ timeLimitMs: 17_000 });
  await settle();
  assert.is(refusals.length, 1);
  started[0]!.memory.release();
  await settle();
  assert.is(started.length, 10);
});

// Guards against calls that have run and lose their room to calls that have not.
test("the first calls have their memory before those that wait for the size", async () => {
  const { memory, send, started, receiveHead } = createFixture();
  memory.force(CAPACITY_BYTES / 2);
  await sendBurst(send);
  assert.ok(receiveHead(started[3]!));
  await settle();
  assert.is(started.length, 4);
  assert.ok(started.slice(0, 3).every(receiveHead));
  assert.not(memory.tryAcquire(LARGE_BYTES, RESPONSE_RANK));
});

// Guards against a slot that stays unused while its call waits for memory, and against a call that runs without room.
test("a call that has its slot does not wait, and needs room for what its kind has grown to", async () => {
  const { memory, send, started, receiveHead, ...environment } =
    createFixture();
  await send();
  const [call] = started as [OutboundCall];
  assert.ok(receiveHead(call));
  const granted = { ...call, memory: new HeldMemory(memory, 1) };
  const options = { maxWaitMs: 0 };
  const reserve = () =>
    reserveResponse({ memory, ...environment }, granted, options);
  assert.is(await reserve(), undefined);
  assert.is(granted.memory.aheadBytes, LARGE_BYTES);
  environment.responseSizes.learn(call, 2 * LARGE_BYTES);
  memory.force(CAPACITY_BYTES - 3 * LARGE_BYTES);
  assert.is((await reserve())?.reason, "memory-full");
});

test.run();
