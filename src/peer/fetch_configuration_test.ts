import * as assert from "uvu/assert";
import { suite } from "uvu";
import { SystemClock } from "../time/mod.ts";
import { fetchConfiguration } from "./fetch_configuration.ts";
import { PeerServer } from "./peer_server.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { createTestBudget } from "../testing/create_test_memory.ts";

const ADDRESS = `127.${await claimNetwork()}.1.1`;
const PEER_PORT = 7102;

const test = suite("fetchConfiguration");

function createConnectionOptions(incarnation: string, fleetToken: string) {
  return {
    identity: { incarnation, failureDomain: "gent-a", fleetToken },
    clock: new SystemClock(),
    memory: createTestBudget(),
  };
}

async function withServer(
  bytes: Uint8Array,
  run: () => Promise<void>,
): Promise<void> {
  const server = new PeerServer({
    ...createConnectionOptions("server", "right-token"),
    handleCall: () => Promise.reject(new Error("unexpected call")),
    provideConfiguration: (knownVersion) => bytes.subarray(knownVersion),
    reportError: () => undefined,
  });
  await server.listen(ADDRESS, PEER_PORT);
  await run();
  server.close();
}

test("fetches a transfer that is larger than one part", async () => {
  const bytes = Uint8Array.from({ length: 300_000 }, (_, index) => index % 251);
  await withServer(bytes, async () => {
    const fetched = await fetchConfiguration(
      { address: ADDRESS, peerPort: PEER_PORT },
      3,
      createConnectionOptions("client", "right-token"),
    );
    assert.ok(
      Uint8Array.from(fetched._unsafeUnwrap()).every((byte, index) =>
        byte === (index + 3) % 251
      ),
    );
    assert.is(fetched._unsafeUnwrap().length, bytes.length - 3);
  });
});

test("fails when the fleet token is wrong", async () => {
  await withServer(new Uint8Array([1]), async () => {
    const fetched = await fetchConfiguration(
      { address: ADDRESS, peerPort: PEER_PORT },
      0,
      createConnectionOptions("client", "wrong-token"),
    );
    assert.ok(fetched.isErr());
  });
});

test("fails when the peer is unreachable", async () => {
  const fetched = await fetchConfiguration(
    { address: ADDRESS, peerPort: PEER_PORT },
    0,
    createConnectionOptions("client", "right-token"),
  );
  assert.ok(fetched.isErr());
});

test.run();
