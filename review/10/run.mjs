/**
 * A machine freezes for four seconds while it runs requests that must not be
 * repeated. Their route has a timeout of two seconds, and their callers wait for
 * 0.6 s more.
 */

import { fileURLToPath } from "node:url";
import { sendOnce } from "../lib-2/client.mjs";
import {
  HAS_TROUBLE,
  HOST,
  putConfiguration,
  runCase,
  startAll,
} from "../lib-2/deployment.mjs";
import { PORTS, sleep } from "../lib-2/fleet.mjs";

const ROUTE_TIMEOUT_MS = 2000;
/** Time beyond the route's timeout within which the final answer is due. */
const GRANTED_MS = 500;
const DEADLINE_MS = 2600;
const FREEZE_MS = 4000;
const FREEZES = 3;
const REQUESTS_PER_S = 100;
const WORK_MS = 200;
const MIN_LONG = 8;
const MAX_SHARE = 0.25;

async function play(fleet) {
  for (const service of ["front", "ledger", "ledger", "ledger"]) {
    fleet.addMachine({ zone: "za", service, workMs: WORK_MS });
  }
  putConfiguration(fleet, [{
    ...{ name: "post", host: HOST, path_prefix: "/post/", kind: "unsafe" },
    ...{ timeout_ms: ROUTE_TIMEOUT_MS, target_latency_ms: 1000, priority: 0 },
    ...{ service: "ledger", max_attempts: 2 },
  }]);
  if (!(await startAll(fleet))) {
    return undefined;
  }
  const [entry, frozen] = fleet.machines;
  const answers = [];
  const send = async (attemptId) => {
    const sentAtMs = fleet.nowMs;
    fleet.record("sent", { attemptId, deadlineMs: DEADLINE_MS });
    const { status } = await sendOnce(
      { host: entry.host, port: PORTS.outbound },
      {
        ...{ method: "POST", path: "/post/one", host: HOST, attemptId },
        ...{ deadlineMs: DEADLINE_MS, body: `order ${attemptId}` },
      },
    );
    const tookMs = fleet.nowMs - sentAtMs;
    fleet.record("answered", { attemptId, status, tookMs });
    answers.push({ attemptId, status, tookMs });
  };
  let count = 0;
  const timer = setInterval(
    () => void send(`post-${count++}`),
    1000 / REQUESTS_PER_S,
  );
  await sleep(4000);
  for (let index = 0; index < FREEZES; index += 1) {
    if (HAS_TROUBLE) {
      frozen.signal("SIGSTOP");
    }
    await sleep(FREEZE_MS);
    if (HAS_TROUBLE) {
      frozen.signal("SIGCONT");
    }
    await sleep(8000);
  }
  clearInterval(timer);
  await sleep(DEADLINE_MS + 500);
  if (!answers.some(({ status }) => status === 200)) {
    return undefined;
  }
  const long = answers.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS);
  const late = long.filter(({ tookMs }) =>
    tookMs > ROUTE_TIMEOUT_MS + GRANTED_MS
  );
  const unanswered = late.filter(({ status }) => status === 0);
  console.log(
    `${answers.length} requests, ${long.length} longer than the route's timeout, ${late.length} of them without a final answer half a second after it, ${unanswered.length} none at all`,
  );
  return long.length >= MIN_LONG && late.length > long.length * MAX_SHARE
    ? [
      `${late.length} of ${long.length} requests that lasted longer than ${ROUTE_TIMEOUT_MS} ms had no final answer ${GRANTED_MS} ms after it`,
    ]
    : [];
}

await runCase({
  zones: { za: "ra", zb: "ra" },
  recordPath: fileURLToPath(new URL("record.txt", import.meta.url)),
}, play);
