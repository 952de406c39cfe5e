/**
 * Smoke test of an example user's configuration: one call of each request kind
 * through a fleet with the configuration generated from the user's answers.
 */

import { claimNetwork } from "../../testing/claim_network.ts";
import { TestCaller } from "../../testing/test_caller.ts";
import type { TestCall } from "../../testing/test_caller.ts";
import { createExampleFleetPlan } from "../create_example_fleet_plan.ts";
import type { ExampleName } from "../create_example_fleet_plan.ts";
import type { TableRow } from "../experiment.ts";
import { Fleet } from "../fleet.ts";

const SLOTS = 4;

/**
 * Starts a fleet for an example and sends one call of each request kind.
 *
 * @param name - Example user
 * @returns A row for each request kind with outcome, status and reason
 *
 * @example
 * const rows = await checkExample("verrou_boreal");
 */
export async function checkExample(name: ExampleName): Promise<TableRow[]> {
  const network = await claimNetwork();
  const plan = await createExampleFleetPlan(name, {
    protection: "on",
    network,
    slots: SLOTS,
  });
  const fleet = new Fleet(plan);
  await fleet.start();
  const caller = new TestCaller();
  const entryUrl = fleet.entryUrls[0] ?? "";
  const rows: TableRow[] = [];
  for (const request of plan.configuration.requests) {
    const [key = ""] = await caller.fetchKeys(entryUrl, 1);
    const call: TestCall = {
      entryUrl,
      service: request.service,
      method: request.method === "POST" ? "POST" : "GET",
      path: `${request.pathPrefix}/1`,
      requestId: `check-${request.name}`,
      member: "member-1",
      idempotencyKey: request.isRepeatable ? "" : key,
      attempt: 1,
      timeoutMs: request.deadlineMs,
    };
    const { outcome, status, reason } = await caller.send(call);
    rows.push({ request: request.name, outcome, status, reason });
  }
  await caller.close();
  await fleet.stop();
  return rows;
}
