import { createSocket } from "node:dgram";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { claimNetwork } from "../testing/claim_network.ts";
import { UdpTransport } from "./udp_transport.ts";

const PORT = 7102;

function createTransport(address: string): UdpTransport {
  const reportError = (error: Error) => assert.unreachable(error.message);
  return new UdpTransport({ address, port: PORT, reportError });
}

test("datagrams sent before closing are delivered with their source address", async () => {
  const network = await claimNetwork();
  const receiver = createTransport(`127.${network}.0.1`);
  const sender = createTransport(`127.${network}.0.2`);
  const arrived = new Promise<{ text: string; source: string }>((resolve) =>
    void receiver.open((bytes, source) =>
      resolve({ text: new TextDecoder().decode(bytes), source })
    )
  );
  await sender.open(() => undefined);
  sender.send(
    new TextEncoder().encode("final datagram"),
    `127.${network}.0.1:${PORT}`,
  );
  await sender.close();
  assert.equal(await arrived, {
    text: "final datagram",
    source: `127.${network}.0.2:${PORT}`,
  });
  await receiver.close();
});

test("targets without a valid address and port are ignored", async () => {
  const transport = createTransport(`127.${await claimNetwork()}.0.3`);
  await transport.open(() => undefined);
  for (const target of ["", "nowhere", "127.0.0.1:0", "127.0.0.1:70000"]) {
    transport.send(new Uint8Array(1), target);
  }
  await transport.close();
  transport.send(new Uint8Array(1), "127.0.0.1:7102");
});

// Guards against a failed attempt that leaves its socket behind, or an error event without a listener.
test("a bind that failed can be repeated", async () => {
  const address = `127.${await claimNetwork()}.0.4`;
  const occupant = createSocket("udp4");
  await new Promise<void>((resolve) => occupant.bind(PORT, address, resolve));
  const codes: (string | undefined)[] = [];
  const transport = new UdpTransport({
    ...{ address, port: PORT },
    reportError: (error) => assert.unreachable(error.message),
    repeatBind: async (bind) => {
      await bind().catch(({ code }) => codes.push(code));
      await new Promise<void>((resolve) => occupant.close(() => resolve()));
      await bind();
    },
  });
  await transport.open(() => undefined);
  assert.equal(codes, ["EADDRINUSE"]);
  await transport.close();
});

test.run();
