/**
 * An instance leaves; then all daemons are killed at the same moment and started
 * again. A check-in that the instance had sent before arrives late, and work is
 * sent to the instance until it ends.
 */

import { deploy, runCase, waitUntilReady } from "../lib/case.ts";
import type { CaseContext } from "../lib/case.ts";
import { send } from "../lib/client.ts";
import type { Outcome } from "../lib/client.ts";
import { BOUNDS } from "../lib/deployment.ts";
import { Instance } from "../lib/instance.ts";
import { receivesWork } from "../lib/machine.ts";
import { now, sleep, sleepUntil } from "../lib/time.ts";

const ZONES = { "mtl-a": "mtl", "mtl-b": "mtl" };

const REQUEST_INTERVAL_MS = 20;
const WORK_MS = 200;
const DEADLINE_MS = 1_000;

/** Time from the confirmation until all daemons are killed, and until they are started again, in milliseconds. */
const KILL_AFTER_MS = 300;
const RESTART_AFTER_MS = 900;

/** Time for which the check-in is on its way, in milliseconds. */
const CHECK_IN_DELAY_MS = 2_500;

/** Time for which the instance serves after its confirmation, in milliseconds. */
const SERVES_MS = 10_000;

async function play(context: CaseContext): Promise<boolean> {
  const { hasTrouble, record, report } = context;
  const { machines } = await deploy({
    zones: ZONES,
    groups: Object.keys(ZONES).map((zone) => ({
      ...{ zone, service: "remise", count: 2 },
    })),
    configuration: {
      services: ["remise"],
      routes: [{
        ...{ name: "key-release", pathPrefix: "/release/", kind: "unsafe" },
        ...{ timeoutMs: DEADLINE_MS, service: "remise" },
      }],
    },
  }, context);
  const instances = machines.map(({ address, plan: { zone } }, index) =>
    new Instance({
      ...{ id: `i-${index}`, address, service: "remise", zone },
      work: () => WORK_MS,
    })
  );
  await Promise.all(instances.map((instance) => instance.start()));
  await waitUntilReady(machines);
  machines.forEach((machine) => void machine.watchReadiness());
  await sleep(5_000);
  const [leaver] = instances;
  if (!leaver) {
    throw new Error("no instance");
  }

  const outcomes: Outcome[] = [];
  let isOver = false;
  const traffic = (async () => {
    for (let index = 0; !isOver; index += 1) {
      const machine = machines[index % machines.length];
      if (machine && receivesWork(machine, machines)) {
        void send({
          ...{ address: machine.address, attemptId: `a${index}` },
          ...{ path: "/release/1", method: "POST", body: "key" },
          deadlineMs: DEADLINE_MS,
        }).then((outcome) => outcomes.push(outcome));
      }
      await sleep(REQUEST_INTERVAL_MS);
    }
  })();
  await sleep(3_000);

  leaver.stopCheckIns();
  const lateCheckIn = leaver.describe("ready");
  const checkInSentAtMs = now();
  const status = await leaver.leave();
  const confirmedAtMs = now();
  report(`the removal of ${leaver.options.id} was confirmed with ${status}`);
  if (status !== 200) {
    throw new Error("the removal was not confirmed");
  }
  if (hasTrouble) {
    await sleep(KILL_AFTER_MS);
    record("all daemons are killed");
    await Promise.all(machines.map((machine) => machine.kill()));
    await sleep(RESTART_AFTER_MS);
    machines.forEach((machine) => machine.start());
    record("all daemons are started");
  }
  await sleepUntil(checkInSentAtMs + CHECK_IN_DELAY_MS);
  const lateStatus = await leaver.send("PUT", lateCheckIn);
  record(`the late check-in was answered with ${lateStatus}`);
  await sleepUntil(confirmedAtMs + SERVES_MS);
  leaver.stop();
  record("the instance ends");
  await sleep(1_000);
  isOver = true;
  await traffic;
  await sleep(2 * DEADLINE_MS);

  const boundAtMs = confirmedAtMs + BOUNDS.drainMs;
  const inTouchAtMs = hasTrouble
    ? Math.max(...machines.map((machine) => machine.startedAtMs)) +
      BOUNDS.contactMs
    : 0;
  const outcomesById = new Map(outcomes.map((each) => [each.attemptId, each]));
  const late = leaver.runs.filter((run) => {
    const { sentAtMs = 0 } = outcomesById.get(run.attemptId) ?? {};
    return run.atMs > boundAtMs && sentAtMs > inTouchAtMs;
  });
  const lost = late.filter((run) => run.endedAtMs === undefined);
  for (const run of late) {
    const outcome = outcomesById.get(run.attemptId);
    record(
      `${run.attemptId} reached ${leaver.options.id} ` +
        `${Math.round(run.atMs - confirmedAtMs)} ms after its confirmation; ` +
        (run.endedAtMs === undefined ? "it was lost with it" : "it was run") +
        `; the client got ${outcome?.status ?? "nothing"}`,
    );
  }
  report(
    `${late.length} requests reached the instance later than ` +
      `${BOUNDS.drainMs} ms after the confirmation, ${lost.length} of them ` +
      "were at work when it ended",
  );
  return late.length > 0;
}

await runCase(play);
