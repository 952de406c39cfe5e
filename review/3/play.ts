/**
 * All daemons are killed at the same moment and started again, while an instance
 * whose leaving is confirmed still serves. A check-in that the instance had sent
 * before it left then arrives late.
 *
 * Checked is the rule DRAIN: no request may reach the instance later than
 * `drain_ms` after the confirmation, sent on by machines in touch.
 */

import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { send } from "../lib/client.ts";
import type { Outcome } from "../lib/client.ts";
import { BOUNDS } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import { now, sleep, sleepUntil } from "../lib/time.ts";

const TIME_LIMIT_MS = 5_000;

/** Time from the confirmation until the daemons are killed, and until they are started again. */
const KILL_AFTER_MS = 500;
const DOWN_MS = 1_000;

/** Time from the confirmation until the late check-in arrives. */
const CHECK_IN_AFTER_MS = 3_500;

/** Time from the confirmation until the instance ends. */
const END_AFTER_MS = 10_000;

const REQUESTS_PER_SECOND = 20;

/** Service whose instance leaves, and its first machine. */
const SERVICE = "records";
const LEAVING_INDEX = 1;

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const { machines } = await deploy({
    zones: { "z-a": "r1", "z-b": "r1" },
    groups: [
      { zone: "z-a", service: "front", count: 1 },
      { zone: "z-a", service: SERVICE, count: 2 },
      { zone: "z-b", service: "front", count: 1 },
      { zone: "z-b", service: SERVICE, count: 2 },
    ],
    configuration: {
      services: ["front", SERVICE],
      routes: [{
        ...{ name: "record-post", pathPrefix: "/records/", kind: "unsafe" },
        ...{ timeoutMs: TIME_LIMIT_MS, service: SERVICE },
      }],
    },
  }, context);
  const instances = machines.map(({ plan }, index) =>
    new Instance({ ...plan, id: `i-${index}`, work: () => 50 })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  await sleep(BOUNDS.contactMs);
  const [entry] = machines;
  const leaving = instances[LEAVING_INDEX];
  if (!entry || !leaving) {
    throw new Error("no machine");
  }

  leaving.stopCheckIns();
  const lateCheckIn = leaving.describe("ready");
  const status = await leaving.leave();
  const confirmedAtMs = now();
  report(`the leaving of ${leaving.options.id} was answered with ${status}`);
  if (status !== 200) {
    throw new Error("the leaving was not confirmed");
  }
  const endedAtMs = confirmedAtMs + END_AFTER_MS;
  const ended = sleepUntil(endedAtMs).then(() => leaving.stop());

  await sleepUntil(confirmedAtMs + KILL_AFTER_MS);
  if (hasTrouble) {
    await Promise.all(machines.map((machine) => machine.kill()));
    report(`all ${machines.length} daemons were killed`);
    await sleep(DOWN_MS);
    machines.forEach((machine) => machine.start());
  }
  await sleepUntil(confirmedAtMs + CHECK_IN_AFTER_MS);
  const answer = await leaving.send("PUT", lateCheckIn);
  report(`the late check-in was answered with ${answer}`);
  await waitUntilReady(machines);

  // From here on all machines are in touch.
  const startsMs = machines.map(({ startedAtMs }) => startedAtMs);
  await sleepUntil(Math.max(
    Math.max(...startsMs) + BOUNDS.contactMs,
    confirmedAtMs + BOUNDS.drainMs,
  ));
  const judgedFromMs = now();
  report(
    `requests from ${
      Math.round(judgedFromMs - confirmedAtMs)
    } ms after the confirmation on`,
  );
  const attempts: Promise<Outcome>[] = [];
  for (let count = 1; now() < endedAtMs; count += 1) {
    await sleepUntil(judgedFromMs + count * 1_000 / REQUESTS_PER_SECOND);
    attempts.push(send({
      ...{ address: entry.address, attemptId: `a${count}`, method: "POST" },
      ...{ path: `/records/${count}`, body: "one delivery" },
      deadlineMs: TIME_LIMIT_MS,
    }));
  }
  const outcomes = await Promise.all(attempts);
  await ended;

  for (const { attemptId, status, isSealed, body, error } of outcomes) {
    record(
      `${attemptId}: ${status} ${isSealed ? "sealed" : ""} ${body || error}`,
    );
  }
  const late = leaving.runs.filter(({ atMs }) => atMs >= judgedFromMs);
  for (const { attemptId, atMs } of late) {
    const afterMs = Math.round(atMs - confirmedAtMs);
    record(`${attemptId} reached the instance ${afterMs} ms after it had left`);
  }
  const served = outcomes.filter(({ isSealed }) => isSealed).length;
  report(
    `${outcomes.length} requests, ${served} answered by an instance, ${late.length} reached the one that had left`,
  );
  return late.length > 0;
}

await runCase(play);
