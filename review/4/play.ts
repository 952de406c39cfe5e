/**
 * The operator's new version brings tenants. The instances of one service make a
 * call for each request that they run. The calls have ids of their own, which do
 * not extend the id of the request, and no key.
 *
 * Checked is the rule DENIED: no more than 5 requests and one in 500 of all may
 * end with a 4xx of the daemon's own although they are proper.
 */

import { randomBytes } from "node:crypto";
import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { send } from "../lib/client.ts";
import type { Outcome } from "../lib/client.ts";
import { BOUNDS, createConfiguration } from "../lib/deployment.ts";
import type { ConfigurationPlan } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import { now, sleep, sleepUntil } from "../lib/time.ts";

const KEY = "key-of-the-customers";

const TIME_LIMIT_MS = 5_000;
const CALL_LIMIT_MS = 1_000;

/** Time from the confirmation of a version until it has to be in force, and a margin. */
const APPLY_MS = 2_500;
const MARGIN_MS = 500;

const REQUESTS_PER_SECOND = 10;
const LENGTH_MS = 10_000;

/** What the rule allows. */
const ALLOWED = 5;
const ALLOWED_RATIO = 1 / 500;

/** Statuses of the daemon's own that are not counted. */
const EXCUSED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

function createPlan(hasTenants: boolean): ConfigurationPlan {
  return {
    services: ["orders", "records"],
    routes: [{
      ...{ name: "order-post", pathPrefix: "/orders/", kind: "unsafe" },
      ...{ timeoutMs: TIME_LIMIT_MS, service: "orders" },
    }, {
      ...{ name: "record-view", pathPrefix: "/views/", kind: "safe" },
      ...{ timeoutMs: CALL_LIMIT_MS, service: "records" },
    }],
    ...hasTenants && {
      tenants: [{
        ...{ name: "customers", apiKeys: [KEY] },
        ...{ ratePerSecond: 0, burst: 0 },
      }],
    },
  };
}

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const { store, machines } = await deploy({
    zones: { "z-a": "r1", "z-b": "r1" },
    groups: [
      { zone: "z-a", service: "orders", count: 2 },
      { zone: "z-b", service: "records", count: 2 },
    ],
    configuration: createPlan(false),
  }, context);
  const calls: Outcome[] = [];
  const makeCalls = async (address: string) => {
    const attemptId = randomBytes(8).toString("hex");
    const path = `/views/${attemptId}`;
    const call = { address, attemptId, path, deadlineMs: CALL_LIMIT_MS };
    const outcome = await send(call);
    calls.push(outcome);
    return isServed(outcome);
  };
  const instances = machines.map(({ plan }, index) =>
    new Instance({
      ...{ ...plan, id: `i-${index}` },
      ...plan.service === "orders" &&
        { makeCalls: () => makeCalls(plan.address) },
    })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  await sleep(BOUNDS.contactMs);
  if (hasTrouble) {
    store.put("config", "main", {
      ...createConfiguration(createPlan(true)) as object,
      ...{ version: "r9", "base_version": "r7" },
    });
    report("version r9 brings tenants");
  }
  await sleep(APPLY_MS + MARGIN_MS);

  const address = machines[0]?.address ?? "";
  const startedAtMs = now();
  const attempts: Promise<Outcome>[] = [];
  for (let count = 1; now() < startedAtMs + LENGTH_MS; count += 1) {
    await sleepUntil(startedAtMs + count * 1_000 / REQUESTS_PER_SECOND);
    attempts.push(send({
      ...{ address, attemptId: randomBytes(8).toString("hex") },
      ...{ method: "POST", path: `/orders/${count}`, body: "one order" },
      ...{ deadlineMs: TIME_LIMIT_MS },
      headers: { authorization: `Token ${KEY}` },
    }));
  }
  const orders = await Promise.all(attempts);

  [...orders, ...calls].forEach(({ attemptId, path, status, body, error }) =>
    record(`${attemptId} ${path}: ${status} ${body || error}`)
  );
  const denied = [...orders, ...calls].filter(isDenied).length;
  const allowed = ALLOWED + (orders.length + calls.length) * ALLOWED_RATIO;
  const served = orders.filter(isServed).length;
  report(
    `${orders.length} orders, ${served} served; ${calls.length} calls of instances, ${
      calls.filter(isServed).length
    } served; ${denied} denied, ${allowed.toFixed(1)} allowed`,
  );
  return denied > allowed;
}

function isServed({ status, isSealed }: Outcome): boolean {
  return status === 200 && isSealed;
}

function isDenied({ status, isSealed }: Outcome): boolean {
  return status >= 300 && status < 500 && !isSealed &&
    !EXCUSED_STATUSES.has(status);
}

await runCase(play);
