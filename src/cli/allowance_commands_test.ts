import { suite } from "uvu";
import * as assert from "uvu/assert";
import { CallController } from "../cancellation/mod.ts";
import { claimNetwork } from "../testing/claim_network.ts";
import { runCommand } from "../testing/run_command.ts";
import type { CommandResult } from "../testing/run_command.ts";
import { SmallFleet, waitUntil } from "../testing/small_fleet.ts";

interface Context {
  fleet: SmallFleet;
  network: string;
}

const ADMIN_PORT = 7103;
const ACCOUNT = { name: "stalls-north", ratePerSecond: 20, burst: 0 };

const test = suite<Context>("commands that show allowances");

test.before(async (context) => {
  context.network = `127.${await claimNetwork()}.1`;
  context.fleet = new SmallFleet({
    vms: [1, 2].map((host) => ({
      service: "stock",
      address: `${context.network}.${host}`,
    })),
    storeAddress: `${context.network}.200`,
  });
  await context.fleet.start();
});

test.after(async ({ fleet }) => {
  await fleet.stop();
});

function run(
  { network }: Context,
  args: readonly string[],
): Promise<CommandResult> {
  const adminUrl = `http://${network}.1:${ADMIN_PORT}`;
  return runCommand([
    ...args,
    ...["--admin-url", adminUrl, "--fleet-token", "test-token"],
  ]);
}

async function request({ fleet }: Context, requestId: string) {
  const environment = fleet.daemons[0]?.environment;
  assert.ok(environment);
  return await environment.allowances.acquire(ACCOUNT, {
    requestId,
    deadlineAtMs: environment.clock.monotonicMs() + 2_000,
    signal: new CallController().signal,
  });
}

test("status names holders and accounts, explain tells why a request was refused, and metrics count both", async (context) => {
  let granted = false;
  let refusedId = "";
  let count = 0;
  await waitUntil(() => {
    count += 1;
    const requestId = `request-${count}`;
    void request(context, requestId).then((result) => {
      granted ||= result.isOk();
      refusedId = granted && result.isErr() ? requestId : refusedId;
    });
    return granted && refusedId !== "";
  });
  const status = await run(context, ["status"]);
  assert.match(status.stdout, /holds \d+% from \d daemons/);
  assert.match(status.stdout, /stalls-north/);
  const explained = await run(context, ["explain", refusedId]);
  assert.match(explained.stdout, /over-allowance/);
  assert.match(explained.stdout, /account=stalls-north cause=denied/);
  const response = await fetch(
    `http://${context.network}.1:${ADMIN_PORT}/metrics`,
  );
  const metrics = await response.text();
  for (const outcome of ["granted", "refused"]) {
    assert.match(
      metrics,
      new RegExp(
        `allowance_requests_total\\{account="stalls-north",outcome="${outcome}"\\} [1-9]`,
      ),
    );
  }
});

test.run();
