import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { once } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "./claim_network.ts";
import { RandomSource } from "../time/mod.ts";
import { DatagramRelay } from "./datagram_relay.ts";
import type { DatagramFault } from "./datagram_relay.ts";
import { decodeDatagram, encodeDatagram } from "./relayed_datagram.ts";

const NETWORK = await claimNetwork();
const PORT = 7_620;
const SENDER = { address: `127.${NETWORK}.1.1`, port: PORT };
const RECEIVER = { address: `127.${NETWORK}.1.2`, port: PORT };
const RELAY = { address: `127.${NETWORK}.4.2`, port: PORT };
const COUNT = 100;

async function bind(endpoint: typeof SENDER): Promise<Socket> {
  const socket = createSocket("udp4");
  socket.bind(endpoint.port, endpoint.address);
  await once(socket, "listening");
  return socket;
}

/** Sends datagrams with rising numbers and then, unimpaired, one that ends them; returns the numbers in their order of arrival. */
async function relay(fault: Omit<DatagramFault, "affects">): Promise<number[]> {
  const random = new RandomSource(1);
  const datagrams = new DatagramRelay(random);
  await datagrams.open(RELAY);
  const sender = await bind(SENDER);
  const receiver = await bind(RECEIVER);
  const received: number[] = [];
  const ended = new Promise<void>((resolve) => {
    receiver.on("message", (bytes) => {
      const { endpoint, payload } = decodeDatagram(bytes);
      assert.equal(endpoint, SENDER);
      if (payload[0] === COUNT) {
        resolve();
      } else {
        received.push(payload[0] ?? 0);
      }
    });
  });
  const send = (value: number) =>
    new Promise<void>((resolve) =>
      sender.send(
        encodeDatagram(RECEIVER, Uint8Array.of(value)),
        RELAY.port,
        RELAY.address,
        () => resolve(),
      )
    );
  const affects = (from: string, to: string) =>
    from === SENDER.address && to === RECEIVER.address;
  const stop = datagrams.impair({ ...fault, affects });
  for (let value = 0; value < COUNT; value += 1) {
    await send(value);
  }
  while (datagrams.counts.received < COUNT) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  stop();
  await new Promise((resolve) =>
    setTimeout(resolve, 2 * (fault.maxDelayMs ?? 0))
  );
  await send(COUNT);
  await ended;
  sender.close();
  receiver.close();
  datagrams.close();
  return received;
}

const IN_ORDER = Array.from({ length: COUNT }, (_, value) => value);

test("datagrams arrive once, in order and with their sender's address", async () => {
  assert.equal(await relay({}), IN_ORDER);
});

test("a cut loses all datagrams, and a loss some", async () => {
  assert.equal(await relay({ lossRatio: 1 }), []);
  const count = (await relay({ lossRatio: 0.3 })).length;
  assert.ok(count > 0 && count < COUNT);
});

test("duplicates arrive beside their originals", async () => {
  const received = await relay({ duplicateRatio: 0.3 });
  assert.ok(received.length > COUNT);
  assert.equal([...new Set(received)], IN_ORDER);
});

test("delayed datagrams overtake each other and none is lost", async () => {
  const received = await relay({ maxDelayMs: 30 });
  assert.not.equal(received, IN_ORDER);
  assert.equal([...received].sort((a, b) => a - b), IN_ORDER);
});

test.run();
