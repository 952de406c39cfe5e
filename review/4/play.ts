/**
 * Clients send more than 16 `safe` requests on one connection and leave. The
 * daemon does not see that they have left, and begins the rest of their requests.
 */

import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { Instance } from "../lib/instance.ts";
import { PipeliningClient } from "../lib/pipelining_client.ts";
import { now, sleep } from "../lib/time.ts";

const MACHINES = 3;
const CLIENTS = 6;

/** Requests that a client sends at once. */
const DEPTH = 24;

const WORK_MS = 1_500;
const DEADLINE_MS = 5_000;

/** Time after which the clients leave, in milliseconds. */
const LEAVE_AFTER_MS = 200;

/** Time after the close from which requests and work count, in milliseconds. */
const SLACK_MS = 500;

/** Late requests that the rule still allows. */
const MAX_LATE = 5;

/** Share of the requests at work that may go on. */
const MAX_AT_WORK_RATIO = 0.25;

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const { machines } = await deploy({
    zones: { "mutrah": "muscat" },
    groups: [{ zone: "mutrah", service: "meters", count: MACHINES }],
    configuration: {
      services: ["meters"],
      routes: [{
        ...{ name: "meter-read", pathPrefix: "/meters/", kind: "safe" },
        ...{ timeoutMs: DEADLINE_MS, service: "meters" },
      }],
    },
  }, context);
  const instances = machines.map(({ address }, index) =>
    new Instance({
      ...{ id: `i-${index}`, address, service: "meters", zone: "mutrah" },
      ...{ slots: 100, work: () => WORK_MS },
    })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  await sleep(6_000);
  const sentAtMs = now();
  const clients = Array.from(
    { length: CLIENTS },
    (_, index) =>
      new PipeliningClient({
        address: machines[index % machines.length]?.address ?? "",
        ...{ name: `c${index}`, path: "/meters/1", isRefilled: false },
        ...{ depth: DEPTH, deadlineMs: DEADLINE_MS },
      }),
  );
  await sleep(LEAVE_AFTER_MS);
  const leftAtMs = hasTrouble ? now() : Infinity;
  if (hasTrouble) {
    record("the clients close their connections");
    clients.forEach((client) => client.leave());
  }
  await sleep(2 * DEADLINE_MS);
  clients.forEach((client) => client.leave());
  const runs = instances.flatMap((instance) => instance.runs);
  for (const { attemptId, atMs, endedAtMs } of runs) {
    record(
      `${attemptId} reached an instance ${Math.round(atMs - sentAtMs)} ms ` +
        "after it was sent; " +
        (endedAtMs === undefined
          ? "broken off"
          : `worked on until ${Math.round(endedAtMs - sentAtMs)} ms`),
    );
  }
  const late = runs.filter(({ atMs }) => atMs > leftAtMs + SLACK_MS);
  const early = runs.filter(({ atMs }) => atMs <= leftAtMs);
  const atWork = hasTrouble
    ? early.filter(({ endedAtMs = 0 }) => endedAtMs > leftAtMs + SLACK_MS)
    : [];
  report(
    `${runs.length} runs; ${late.length} requests reached an instance over ` +
      `${SLACK_MS} ms after the close, ${atWork.length} of ${early.length} ` +
      "were worked on to their end",
  );
  return late.length > MAX_LATE ||
    atWork.length > early.length * MAX_AT_WORK_RATIO;
}

await runCase(play);
