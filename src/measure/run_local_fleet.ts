/**
 * Runs a local fleet for trying out the command-line tool. Its load is
 * slightly above capacity. Stops when interrupted or after the given number of
 * minutes.
 */

import process from "node:process";
import { claimNetwork } from "../testing/claim_network.ts";
import { TestCaller } from "../testing/test_caller.ts";
import { createExampleFleetPlan } from "./create_example_fleet_plan.ts";
import { Fleet, FLEET_TOKEN, PORTS } from "./fleet.ts";

const DEFAULT_MINUTES = 10;
const MAX_MINUTES = 60;
const MS_PER_MINUTE = 60_000;
const CALL_INTERVAL_MS = 5;
const SLOTS = 3;
const SERVICE_TIME_MS = 30;
const CALLER_TIMEOUT_MS = 1_000;
const MEMBER_COUNT = 50;
const USAGE_ERROR_EXIT_CODE = 2;

async function main(): Promise<number> {
  const minutes = Number(process.argv[2] ?? DEFAULT_MINUTES);
  if (!(minutes > 0 && minutes <= MAX_MINUTES)) {
    console.error(
      `minutes must be a number greater than 0 and at most ${MAX_MINUTES}`,
    );
    return USAGE_ERROR_EXIT_CODE;
  }
  const network = await claimNetwork();
  const behavior = { serviceTimeMs: SERVICE_TIME_MS };
  const plan = await createExampleFleetPlan("rondevaart", {
    protection: "on",
    network,
    slots: SLOTS,
    behavior,
  });
  const fleet = new Fleet(plan);
  console.log(`starting ${plan.vms.length} VMs`);
  await fleet.start();
  printInstructions(fleet, minutes);
  const stopped = waitForStop(minutes * MS_PER_MINUTE);
  const caller = new TestCaller();
  const stopLoad = startLoad(fleet, caller);
  await stopped;
  stopLoad();
  await caller.close();
  await fleet.stop();
  return 0;
}

function printInstructions(fleet: Fleet, minutes: number): void {
  const address = fleet.vms[0]?.plan.address;
  console.log([
    `The fleet runs for ${minutes} minutes. In another shell, run:`,
    "",
    `export CELERYHOLLOW_ADMIN_URL=http://${address}:${PORTS.admin}`,
    `export CELERYHOLLOW_FLEET_TOKEN=${FLEET_TOKEN}`,
    `export CELERYHOLLOW_STORE_URL=${fleet.storeUrl}`,
    `export ENTRY=http://${address}:${PORTS.caller}`,
    "",
    "npx celeryhollow status",
    "npx celeryhollow explain refusals",
    `curl -i $ENTRY/call/round-planning/rounds/7`,
  ].join("\n"));
}

function waitForStop(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, durationMs);
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => {
        clearTimeout(timer);
        resolve();
      });
    }
  });
}

function startLoad(fleet: Fleet, caller: TestCaller): () => void {
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const entryUrl = fleet.entryUrls[count % fleet.entryUrls.length] ?? "";
    void caller.send({
      entryUrl,
      service: "round-planning",
      method: "GET",
      path: `/rounds/${count}`,
      requestId: `local-${count}`,
      member: `member-${count % MEMBER_COUNT}`,
      timeoutMs: CALLER_TIMEOUT_MS,
    });
  }, CALL_INTERVAL_MS);
  return () => clearInterval(timer);
}

process.exit(await main());
