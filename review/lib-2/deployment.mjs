// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types to state

/**
 * What the cases of this review have in common: the configuration that the
 * operator writes, the start of a deployment, and the exit code.
 */

import process from "node:process";
import { Fleet, sleep } from "./fleet.mjs";

export const HOST = "orders.example";

export const EXIT_CODES = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

const ROUTE_COLUMNS = [
  "name",
  "host",
  "path_prefix",
  "kind",
  "timeout_ms",
  "target_latency_ms",
  "priority",
  "service",
  "max_attempts",
];

/** Writes the configuration, in place of the operator. */
export function putConfiguration(fleet, routes, limits = {}) {
  fleet.store.put("config", "main", {
    version: "r1",
    routes: {
      columns: ROUTE_COLUMNS,
      rows: routes.map((route) =>
        ROUTE_COLUMNS.map((column) => route[column] ?? null)
      ),
    },
    services: {
      columns: ["name"],
      rows: [...new Set(fleet.machines.map(({ service }) => service))]
        .map((name) => [name]),
    },
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1048576,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
      ...limits,
    },
  });
}

/** Starts all instances and daemons, and waits until the daemons are ready and know each other. */
export async function startAll(fleet) {
  for (const machine of fleet.machines) {
    await machine.instance.start();
    machine.startDaemon();
  }
  const isReady = await fleet.waitReady();
  await sleep(4000);
  return isReady;
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 *
 * @param zones - Regions by zone
 * @param recordPath - File to which the record is written
 * @param play - Plays the case; resolves to the breaks, or to undefined if it could not run
 */
export async function runCase({ zones, recordPath }, play) {
  const fleet = new Fleet({ zones });
  let breaks;
  try {
    await fleet.open();
    breaks = await play(fleet);
  } catch (error) {
    console.error(error);
  }
  await fleet.close(recordPath);
  if (breaks === undefined) {
    console.log("the case could not run");
    process.exit(EXIT_CODES.notRun);
  }
  breaks.forEach((each) => console.log(`broken: ${each}`));
  console.log(breaks.length === 0 ? "the rule held" : "the rule was broken");
  process.exit(breaks.length === 0 ? EXIT_CODES.held : EXIT_CODES.broken);
}
