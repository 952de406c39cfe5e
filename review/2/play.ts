/**
 * A daemon is stopped with SIGTERM while its clients go on to send non-repeatable
 * requests, of which one in 140 takes 2.4 s instead of 0.15 s.
 *
 * Checked is the rule LOST: after the SIGTERM, the daemon must not break off a
 * request at which its instance is at work and answer it itself. Not counted are
 * requests that were sent up to 3 s after the SIGTERM and at which the instance
 * was still at work in the last sixth of the grace, and those whose time limit or
 * route's timeout was reached.
 */

import { send } from "../lib/client.ts";
import type { Outcome } from "../lib/client.ts";
import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { BOUNDS } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import type { Run } from "../lib/instance.ts";
import { receivesWork } from "../lib/machine.ts";
import { now, sleep, sleepUntil } from "../lib/time.ts";

/** Requests per second of the clients on the machine that is stopped. */
const REQUESTS_PER_SECOND = 200;

/** One in this many requests takes long: 0.7 in 100, where the pages have up to 3 in 100. */
const LONG_EVERY = 140;
const USUAL_WORK_MS = 150;
const LONG_WORK_MS = 2_400;

const TIME_LIMIT_MS = 6_000;

/** Time until the SIGTERM, from which on routes are measured. */
const WARM_UP_MS = 8_000;

/** Requests sent later than this after the SIGTERM are counted even if the instance works in the last sixth of the grace. */
const EXCUSED_UNTIL_MS = 3_000;
const LAST_SIXTH_MS = BOUNDS.graceMs * 5 / 6;

/** Time after which every request has ended. */
const SETTLE_MS = 8_000;

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const { machines } = await deploy({
    zones: { "z-a": "r1", "z-b": "r1" },
    groups: [
      { zone: "z-a", service: "front", count: 1 },
      { zone: "z-b", service: "records", count: 2 },
    ],
    configuration: {
      services: ["front", "records"],
      routes: [{
        ...{ name: "record-post", pathPrefix: "/records/", kind: "unsafe" },
        ...{ timeoutMs: TIME_LIMIT_MS, service: "records" },
      }],
    },
  }, context);
  const instances = machines.map(({ plan }, index) =>
    new Instance({
      ...plan,
      ...{ id: `i-${index}`, slots: 200 },
      work: (path) => path.endsWith("/long") ? LONG_WORK_MS : USUAL_WORK_MS,
    })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  machines.forEach((machine) => void machine.watchReadiness());
  await sleep(BOUNDS.contactMs);
  const [entry] = machines;
  if (!entry) {
    throw new Error("no machine");
  }

  const attempts: Promise<Outcome>[] = [];
  const startedAtMs = now();
  const stopAtMs = startedAtMs + WARM_UP_MS;
  const lastAtMs = stopAtMs + BOUNDS.graceMs;
  const sendAll = async () => {
    for (let count = 1; now() < lastAtMs; count += 1) {
      await sleepUntil(startedAtMs + count * 1_000 / REQUESTS_PER_SECOND);
      if (!receivesWork(entry, machines)) {
        continue;
      }
      const suffix = count % LONG_EVERY === 0 ? "/long" : "";
      attempts.push(send({
        ...{ address: entry.address, attemptId: `a${count}`, method: "POST" },
        ...{ path: `/records/${count}${suffix}`, body: "one delivery" },
        deadlineMs: TIME_LIMIT_MS,
      }));
    }
  };
  const sent = sendAll();
  await sleepUntil(stopAtMs);
  if (hasTrouble) {
    report("SIGTERM");
    const end = await entry.stop();
    report(`the daemon ended ${JSON.stringify(end)}`);
  }
  await sent;
  await sleepUntil(stopAtMs + SETTLE_MS);
  const outcomes = await Promise.all(attempts);

  const runs = new Map(
    instances.flatMap((instance) => instance.runs)
      .map((run) => [run.attemptId, run]),
  );
  let lost = 0;
  for (const outcome of outcomes) {
    const run = runs.get(outcome.attemptId);
    record(describe(outcome, run, stopAtMs));
    if (hasTrouble && run && isLost(outcome, run, stopAtMs)) {
      lost += 1;
      report(`lost: ${describe(outcome, run, stopAtMs)}`);
    }
  }
  const failed = outcomes.filter(({ status }) => status !== 200).length;
  report(
    `${outcomes.length} requests, ${failed} without success, ${lost} lost`,
  );
  return hasTrouble ? lost > 0 : failed > 0;
}

/** Whether a request was passed on after the SIGTERM began to count, and ended without its instance's answer for no reason that the rule excuses. */
function isLost(outcome: Outcome, run: Run, stopAtMs: number): boolean {
  const { isSealed, sentAtMs, endedAtMs } = outcome;
  const isAnswered = isSealed && outcome.status === 200;
  const isOutOfTime = endedAtMs - sentAtMs >= TIME_LIMIT_MS;
  const workedUntilMs = run.endedAtMs ?? run.atMs + LONG_WORK_MS;
  const isExcused = sentAtMs <= stopAtMs + EXCUSED_UNTIL_MS &&
    workedUntilMs >= stopAtMs + LAST_SIXTH_MS;
  return !isAnswered && !isOutOfTime && !isExcused && endedAtMs > stopAtMs;
}

function describe(
  { attemptId, path, status, isSealed, body, error, sentAtMs, endedAtMs }:
    Outcome,
  run: Run | undefined,
  stopAtMs: number,
): string {
  const at = (atMs: number) => `${Math.round(atMs - stopAtMs)} ms`;
  const ran = run
    ? `ran from ${at(run.atMs)}${run.isBrokenOff ? ", broken off" : ""}`
    : "did not run";
  const answer = status === 0
    ? error
    : `${status} ${isSealed ? "sealed" : body}`;
  return `${attemptId} ${path} sent at ${at(sentAtMs)}, ${ran}, ended at ${
    at(endedAtMs)
  } with ${answer}`;
}

await runCase(play);
