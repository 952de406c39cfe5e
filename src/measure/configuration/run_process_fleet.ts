/**
 * Distributes configuration changes in a fleet of daemon processes, before and
 * after a store outage.
 */

import { request } from "undici";
import { HttpObjectStore } from "../../store/mod.ts";
import { writeConfiguration } from "../../testing/write_configuration.ts";
import { createTestFleetPlan } from "../create_test_fleet_plan.ts";
import { Fleet, FLEET_TOKEN, PORTS } from "../fleet.ts";
import type { RunningVm } from "../fleet.ts";
import { changeRequestDeadline } from "./create_large_configuration.ts";

/** Result of a run. */
export interface ProcessRunResult {
  readonly daemonCount: number;
  readonly changes: number;
  /** Times from acceptance to activation, for each change and each daemon. */
  readonly activationMs: readonly number[];
  readonly reversions: number;
}

interface JournalEntry {
  readonly atMs: number;
  readonly facts: { readonly version: number };
}

/** Second byte of the loopback addresses. */
const NETWORK = 85;

const CHANGES_PER_PHASE = 12;
const CHANGE_INTERVAL_MS = 500;
const SETTLE_MS = 3_000;
const OUTAGE_MS = 5_000;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Writes configuration changes before and after a store outage and reads from the
 * decision journals when each daemon activated them.
 *
 * @returns Activation times, and the number of activations of an older or equal version
 *
 * @example
 * const { activationMs } = await runProcessFleet();
 */
export async function runProcessFleet(): Promise<ProcessRunResult> {
  const fleet = new Fleet(
    createTestFleetPlan({ protection: "on", network: NETWORK, slots: 4 }),
  );
  await fleet.start();
  const store = new HttpObjectStore(fleet.storeUrl);
  const accepted = new Map<number, number>();
  let { configuration } = fleet.plan;
  const change = async () => {
    configuration = changeRequestDeadline(configuration, accepted.size + 1);
    const version = await writeConfiguration(store, configuration);
    accepted.set(version, Date.now());
    await sleep(CHANGE_INTERVAL_MS);
  };
  for (let index = 0; index < CHANGES_PER_PHASE; index += 1) {
    await change();
  }
  fleet.store.faults.isDown = true;
  await sleep(OUTAGE_MS);
  fleet.store.faults.isDown = false;
  for (let index = 0; index < CHANGES_PER_PHASE; index += 1) {
    await change();
  }
  await sleep(SETTLE_MS);
  const journals = await Promise.all(fleet.vms.map(readJournal));
  await store.close();
  await fleet.stop();
  return {
    daemonCount: fleet.vms.length,
    changes: accepted.size,
    activationMs: journals.flatMap((entries) =>
      listActivationMs(entries, accepted)
    ),
    reversions: journals.reduce(
      (sum, entries) => sum + countReversions(entries),
      0,
    ),
  };
}

async function readJournal({ plan }: RunningVm): Promise<JournalEntry[]> {
  const response = await request(
    `http://${plan.address}:${PORTS.admin}/v1/journal?kind=configuration-change`,
    { headers: { authorization: `Bearer ${FLEET_TOKEN}` } },
  );
  return await response.body.json() as JournalEntry[];
}

function listActivationMs(
  entries: readonly JournalEntry[],
  accepted: ReadonlyMap<number, number>,
): number[] {
  return [...accepted].map(([version, acceptedAtMs]) => {
    const entry = entries.find(({ facts }) => facts.version >= version);
    return entry ? Math.max(0, entry.atMs - acceptedAtMs) : Infinity;
  });
}

function countReversions(entries: readonly JournalEntry[]): number {
  return entries.filter(({ facts }, index) =>
    facts.version <= (entries[index - 1]?.facts.version ?? 0)
  ).length;
}
