import { suite } from "uvu";
import * as assert from "uvu/assert";
import { claimNetwork } from "../testing/claim_network.ts";
import { runCommand } from "../testing/run_command.ts";
import type { CommandResult } from "../testing/run_command.ts";
import { SmallFleet, waitUntil } from "../testing/small_fleet.ts";

interface Context {
  fleet: SmallFleet;
  network: string;
}

const ADMIN_PORT = 7103;
const SERVICES = ["stock", "price-sheets", "stock"] as const;

const test = suite<Context>("quarantine commands");

test.before(async (context) => {
  context.network = `127.${await claimNetwork()}.1`;
  context.fleet = new SmallFleet({
    vms: SERVICES.map((service, index) => ({
      service,
      address: `${context.network}.${index + 1}`,
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
  vmIndex: number,
  args: readonly string[],
): Promise<CommandResult> {
  const adminUrl = `http://${network}.${vmIndex + 1}:${ADMIN_PORT}`;
  return runCommand([
    ...args,
    ...["--admin-url", adminUrl, "--fleet-token", "test-token"],
  ]);
}

/** Records that three servers ended under a request, each at another daemon. */
function crashThree({ daemons }: SmallFleet): void {
  daemons.forEach(({ environment }, index) =>
    environment.quarantine.recordCrash({
      processId: `process-${index}`,
      vmAddress: environment.settings.address,
      service: "stock",
      calls: [{
        ...{ method: "GET", path: "/crash", service: "stock" },
        body: new Uint8Array(0),
        context: { depth: 0, member: "m", tenant: "other" },
      }],
    })
  );
}

function countQuarantined({ daemons }: SmallFleet): number {
  return daemons.filter(({ environment }) =>
    environment.quarantine.list().length > 0
  ).length;
}

test("a fleet without such requests lists none", async (context) => {
  const { exitCode, stdout } = await run(context, 0, ["quarantine"]);
  assert.is(exitCode, 0);
  assert.is(stdout, "no request is quarantined\n");
});

test("an operator sees a quarantined request at one daemon and releases it at another one for all", async (context) => {
  const { fleet, network } = context;
  crashThree(fleet);
  await waitUntil(() => countQuarantined(fleet) === SERVICES.length);
  const listed = await run(context, 0, ["quarantine"]);
  SERVICES.forEach((_, index) =>
    assert.match(listed.stdout, `${network}.${index + 1}`)
  );
  const json = await run(context, 1, ["quarantine", "--json"]);
  const [{ fingerprint }] = JSON.parse(json.stdout);
  assert.match(listed.stdout, fingerprint);
  const released = await run(context, 2, ["release", fingerprint]);
  assert.is(released.exitCode, 0);
  assert.match(released.stdout, "released");
  await waitUntil(() => countQuarantined(fleet) === 0);
});

test("a request that is not quarantined cannot be released", async (context) => {
  const { exitCode, stdout } = await run(context, 0, ["release", "unknown"]);
  assert.is(exitCode, 1);
  assert.match(stdout, "not quarantined");
});

test.run();
