import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import { Hono } from "hono";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { claimNetwork } from "../testing/claim_network.ts";
import { waitUntilActive } from "./wait_until_active.ts";

const ADMIN_PORT = 7103;

const test = suite("wait until a version is active");

const NETWORK = await claimNetwork();

function listAddresses(subnet: number): string[] {
  return [1, 2, 3].map((host) => `127.${NETWORK}.${subnet}.${host}`);
}

function createUrl(address: string): string {
  return `http://${address}:${ADMIN_PORT}`;
}

/**
 * Starts a daemon that lists only itself and the next daemon as members, each in a
 * failure domain of its own.
 */
function startDaemon(
  addresses: readonly string[],
  index: number,
  readVersion: () => number,
): Promise<ServerType> {
  const members = addresses.slice(index, index + 2).map((address, offset) => ({
    address,
    failureDomain: `domain-${index + offset}`,
    state: "alive",
  }));
  const app = new Hono();
  const self = { incarnation: addresses[index] };
  app.get("/v1/status", (context) => context.json({ self, members }));
  app.get(
    "/v1/configuration",
    (context) => context.json({ version: readVersion() }),
  );
  return new Promise((resolve) => {
    const options = {
      fetch: app.fetch,
      hostname: addresses[index]!,
      port: ADMIN_PORT,
    };
    const server = serve(options, () => resolve(server));
  });
}

function createClientOptions(addresses: readonly string[]) {
  return {
    adminUrl: createUrl(addresses[0]!),
    fleetToken: "test-token",
  };
}

test("daemons of failure domains that the first daemon does not list are discovered and waited for", async () => {
  const addresses = listAddresses(2);
  let lastVersion = 4;
  const servers = await Promise.all(
    addresses.map((_, index) =>
      startDaemon(addresses, index, () => index === 2 ? lastVersion : 5)
    ),
  );
  const lines: string[] = [];
  const report = await waitUntilActive(createClientOptions(addresses), 5, {
    timeoutMs: 10_000,
    report: (line) => {
      lines.push(line);
      lastVersion = 5;
    },
  });
  servers.forEach((server) => server.close());
  assert.is(report._unsafeUnwrap().inForceCount, 3);
  assert.equal(lines, [
    "version 5 active on 2 of 3 daemons",
    "version 5 active on 3 of 3 daemons",
  ]);
});

test("outdated and unreachable daemons are reported when the wait times out", async () => {
  const addresses = listAddresses(3);
  const servers = await Promise.all(
    [0, 1].map((index) =>
      startDaemon(addresses, index, () => index === 0 ? 5 : 4)
    ),
  );
  const report = await waitUntilActive(createClientOptions(addresses), 5, {
    timeoutMs: 0,
    report: () => undefined,
  });
  servers.forEach((server) => server.close());
  assert.is(report._unsafeUnwrap().inForceCount, 1);
  assert.equal(report._unsafeUnwrap().behind, [createUrl(addresses[1]!)]);
  assert.equal(report._unsafeUnwrap().unreachable, [
    createUrl(addresses[2]!),
  ]);
});

test.run();
