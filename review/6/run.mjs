/**
 * An instance leaves while the store is down, and its daemon confirms that. Then
 * all daemons are killed and started again, and a check-in that the instance had
 * sent before it left arrives late.
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

const STORE_DOWN_MS = 4500;
const CONTACT_MS = 4000;
const DRAIN_MS = 2500;
const DARK_MS = 900;
/** Time for which the instance serves on after the confirmation. */
const SERVES_ON_MS = 14000;
/** Time by which the check-in is late. */
const LATE_MS = 4500;
const DEADLINE_MS = 5000;
const REQUESTS_PER_S = 40;

async function play(fleet) {
  for (const zone of ["za", "zb"]) {
    fleet.addMachine({ zone, service: "front" });
    fleet.addMachine({ zone, service: "ledger", workMs: 150 });
  }
  putConfiguration(fleet, [{
    ...{ name: "post", host: HOST, path_prefix: "/post/", kind: "unsafe" },
    ...{ timeout_ms: DEADLINE_MS, target_latency_ms: 1000, priority: 0 },
    ...{ service: "ledger", max_attempts: 2 },
  }]);
  if (!(await startAll(fleet))) {
    return undefined;
  }
  const entries = fleet.machines.filter(({ service }) => service === "front");
  const leaving = fleet.machines.find(({ service }) => service === "ledger");
  const { instance } = leaving;
  const sentAtMs = new Map();
  const statuses = new Map();
  let count = 0;
  const timer = setInterval(async () => {
    const { host } = entries[count % entries.length];
    const attemptId = `post-${count++}`;
    sentAtMs.set(attemptId, fleet.nowMs);
    fleet.record("sent", { attemptId, host });
    const { status } = await sendOnce({ host, port: PORTS.outbound }, {
      ...{ method: "POST", path: "/post/one", host: HOST, attemptId },
      ...{ deadlineMs: DEADLINE_MS, body: `order ${attemptId}` },
    });
    statuses.set(attemptId, status);
    fleet.record("answered", { attemptId, status });
  }, 1000 / REQUESTS_PER_S);
  await sleep(3000);

  fleet.store.isDown = HAS_TROUBLE;
  const downAtMs = fleet.nowMs;
  fleet.record("store", { isDown: fleet.store.isDown });
  await sleep(1000);
  // The instance says nothing more after it has left, but one check-in is on its way.
  clearInterval(instance.timer);
  const late = instance.describe();
  const confirmation = await instance.leave();
  const confirmedAtMs = fleet.nowMs;
  fleet.record("left", { instance: instance.id, confirmation });
  if (confirmation !== 200) {
    clearInterval(timer);
    return undefined;
  }
  await sleep(200);
  if (HAS_TROUBLE) {
    fleet.restartDelayMs = DARK_MS;
    fleet.machines.forEach((machine) => machine.signal("SIGKILL"));
  }
  await sleep(Math.max(0, downAtMs + STORE_DOWN_MS - fleet.nowMs));
  fleet.store.isDown = false;
  const upAtMs = fleet.nowMs;
  fleet.record("store", { isDown: false });
  await sleep(Math.max(0, confirmedAtMs + LATE_MS - fleet.nowMs));
  const status = await instance.checkIn(late);
  fleet.record("late-check-in", { sequence: late.status.sequence, status });
  await sleep(Math.max(0, confirmedAtMs + SERVES_ON_MS - fleet.nowMs));
  const cutAtMs = performance.now();
  await instance.close();
  fleet.record("instance-exits", { instance: instance.id });
  await sleep(2000);
  clearInterval(timer);
  await sleep(DEADLINE_MS + 500);

  // All machines have been in touch again for this long: processes ran, store stable.
  const inTouchAtMs = Math.max(upAtMs, confirmedAtMs + DRAIN_MS) + CONTACT_MS;
  const reached = instance.runs.filter(({ attemptId }) =>
    (sentAtMs.get(attemptId) ?? 0) > inTouchAtMs
  );
  const lost = reached.filter(({ attemptId, isCut, atMs }) =>
    isCut && atMs < cutAtMs && statuses.get(attemptId) !== 200
  );
  console.log(
    `${reached.length} requests reached the instance later than ${DRAIN_MS} ms after the confirmation, sent when all machines were in touch; ${lost.length} of them were at work when it exited and got no answer of theirs`,
  );
  return reached.length > 0
    ? [`${reached.length} requests reached an instance that had left`]
    : [];
}

await runCase({
  zones: { za: "ra", zb: "rb" },
  recordPath: fileURLToPath(new URL("record.txt", import.meta.url)),
}, play);
