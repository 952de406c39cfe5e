/**
 * A daemon is stopped while clients that pipeline `safe` requests read slowly.
 * Requests that instances have answered get no complete answer.
 */

import { Buffer } from "node:buffer";
import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { BOUNDS } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import { PipeliningClient } from "../lib/pipelining_client.ts";
import type { PipelinedRequest } from "../lib/pipelining_client.ts";
import { now, sleep } from "../lib/time.ts";

const MACHINES = 3;
const CLIENTS = 4;

/** Requests that a client keeps outstanding. */
const DEPTH = 8;

/** A client reads what has arrived, 64 KiB at most, and then not for this time, in milliseconds. */
const READ_PAUSE_MS = 100;

const ANSWER_BYTES = 30_000;
const WORK_MS = 50;
const DEADLINE_MS = 5_000;

/** After a SIGTERM, requests sent later count also if their instance works into the last sixth of the grace. */
const EXCUSED_SENT_MS = 3_000;

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
      work: () => WORK_MS,
      createAnswer: () => Buffer.alloc(ANSWER_BYTES, "a"),
    })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  await sleep(5_000);
  const [victim] = machines;
  if (!victim) {
    throw new Error("no machine");
  }
  const clients = Array.from(
    { length: CLIENTS },
    (_, index) =>
      new PipeliningClient({
        ...{ address: victim.address, name: `c${index}`, path: "/meters/1" },
        ...{
          depth: DEPTH,
          deadlineMs: DEADLINE_MS,
          readPauseMs: READ_PAUSE_MS,
        },
      }),
  );
  await sleep(1_500);
  const stoppedAtMs = now();
  if (hasTrouble) {
    record("SIGTERM");
    const { code, signal } = await victim.stop();
    const afterMs = Math.round(now() - stoppedAtMs);
    report(`the process ended ${afterMs} ms later (${code ?? signal})`);
  } else {
    await sleep(BOUNDS.graceMs);
    clients.forEach((client) => client.finish());
  }
  await Promise.race([
    Promise.all(clients.map(({ ended }) => ended)),
    sleep(DEADLINE_MS),
  ]);
  const runs = new Map(
    instances.flatMap((instance) => instance.runs)
      .map((run) => [run.attemptId, run]),
  );
  const isCut = (request: PipelinedRequest): boolean => {
    const { attemptId, connectionEndedAtMs, deadlineMs, sentAtMs } = request;
    const run = runs.get(attemptId);
    if (
      request.answeredAtMs !== undefined || request.isBehindClose || !run ||
      connectionEndedAtMs === undefined ||
      connectionEndedAtMs > sentAtMs + deadlineMs
    ) {
      return false;
    }
    const sentAfterMs = sentAtMs - stoppedAtMs;
    const workedUntilMs = (run.endedAtMs ?? Infinity) - stoppedAtMs;
    return sentAfterMs > EXCUSED_SENT_MS ||
      workedUntilMs < BOUNDS.graceMs * 5 / 6;
  };
  const requests = clients.flatMap((client) => client.requests);
  const cut = requests.filter(isCut);
  for (const request of requests) {
    const { attemptId, sentAtMs, status, connectionEndedAtMs } = request;
    const run = runs.get(attemptId);
    record(
      `${attemptId}: sent ${Math.round(sentAtMs - stoppedAtMs)} ms after the ` +
        `signal, ${run ? `run, answered by the instance` : "not run"}` +
        `${
          run?.endedAtMs ? ` at ${Math.round(run.endedAtMs - stoppedAtMs)}` : ""
        }, ` +
        (status > 0
          ? `client got ${status}`
          : connectionEndedAtMs === undefined
          ? "client waits"
          : `connection ended at ${
            Math.round(connectionEndedAtMs - stoppedAtMs)
          } without an answer`) +
        (isCut(request) ? " CUT" : ""),
    );
  }
  const incomplete = clients.filter((each) => each.incompleteBytes > 0).length;
  const answered = requests.filter(({ status }) => status === 200).length;
  report(
    `${requests.length} sent, ${answered} answered with 200, ${cut.length} ` +
      `passed on and cut; ${incomplete} answers broke off within their bytes`,
  );
  return cut.length > 0;
}

await runCase(play);
