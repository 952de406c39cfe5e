import { execFile } from "node:child_process";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";
import { promisify } from "node:util";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "./claim_network.ts";
import { HOOK_VARIABLE } from "./link_hook.ts";
import type { HookLinks } from "./link_hook.ts";
import { decodeDatagram, encodeDatagram } from "./relayed_datagram.ts";

const NETWORK = await claimNetwork();
const PORT = 7_620;
const VM = `127.${NETWORK}.1.1`;
const PEER = `127.${NETWORK}.1.2`;
const LINK = `127.${NETWORK}.100.2`;
const RELAY = { address: `127.${NETWORK}.4.2`, port: PORT };
const LINKS: HookLinks = {
  linkByEndpoint: { [`${PEER}:${PORT}`]: LINK },
  vmAddresses: [VM, PEER],
  datagramRelay: RELAY,
};

async function runHooked(code: string): Promise<string> {
  const hook = new URL("./link_hook.js", import.meta.url).pathname;
  // The shell opens the descriptor on which the module reports.
  const { stdout } = await promisify(execFile)("bash", [
    ...["-c", 'exec "$@" 3>/dev/null', "hooked", process.execPath],
    ...["--import", hook, "-e", code],
  ], { env: { ...process.env, [HOOK_VARIABLE]: JSON.stringify(LINKS) } });
  return stdout.trim();
}

test("connections to a linked endpoint lead to its link, others to their target", async () => {
  const servers = [LINK, VM].map((address) => {
    const server = createServer((socket) => socket.end(address));
    server.listen(PORT, address);
    return server;
  });
  await Promise.all(servers.map((server) => once(server, "listening")));
  for (const [host, target] of [[PEER, LINK], [VM, VM]]) {
    const received = await runHooked(
      `require("node:net").connect({ host: "${host}", port: ${PORT} }).pipe(process.stdout)`,
    );
    assert.is(received, target);
  }
  servers.forEach((server) => server.close());
});

test("datagrams pass the relay and arrive with the sender's address", async () => {
  const relay = createSocket("udp4");
  relay.bind(RELAY.port, RELAY.address);
  await once(relay, "listening");
  relay.once("message", (bytes, source) => {
    const { endpoint, payload } = decodeDatagram(bytes);
    assert.equal(endpoint, { address: PEER, port: PORT });
    assert.is(String(payload), "ping");
    relay.send(encodeDatagram(endpoint, payload), source.port, source.address);
  });
  const received = await runHooked(`
    const socket = require("node:dgram").createSocket("udp4");
    socket.on("message", (bytes, { address, port }) => {
      console.log(String(bytes), address, port);
      socket.close();
    });
    socket.bind(${PORT}, "${VM}", () =>
      socket.send(Buffer.from("ping"), ${PORT}, "${PEER}"));
  `);
  assert.is(received, `ping ${PEER} ${PORT}`);
  relay.close();
});

test.run();
