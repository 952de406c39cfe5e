/** Frame of a case: its record, its temporary folder and its exit code. */

import {
  appendFileSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { killDaemons, Machine } from "./machine.ts";
import { createConfiguration, pickAddresses } from "./deployment.ts";
import type { ConfigurationPlan, MachinePlan } from "./deployment.ts";
import { Store } from "./store.ts";
import { now, waitFor } from "./time.ts";

/** Exit codes of the program; `run.sh` makes 1 of `broken`, which Node.js never uses itself. */
const EXIT_CODES = { held: 0, broken: 10, notRun: 2 } as const;

/** Time after which a case gives up, in milliseconds. */
const LIMIT_MS = 110_000;

const READY_MS = 20_000;

/** Lines of a log that are shown if a case could not run. */
const SHOWN_LOG_LINES = 5;

/** What a case is given. */
export interface CaseContext {
  /** Whether the disruption is to be played. */
  readonly hasTrouble: boolean;
  /** Folder for settings and logs, which is removed at the end. */
  readonly folder: string;
  /** Adds a line to the record. */
  readonly record: (text: string) => void;
  /** Adds a line to the record and prints it. */
  readonly report: (text: string) => void;
}

/** Machines of a zone that run one service. */
export interface MachineGroup {
  readonly zone: string;
  readonly service: string;
  readonly count: number;
  readonly settings?: Readonly<Record<string, string>>;
}

/** Plan of a deployment. */
export interface DeploymentPlan {
  readonly zones: Readonly<Record<string, string>>;
  readonly groups: readonly MachineGroup[];
  readonly configuration: ConfigurationPlan;
}

/** A deployment whose store and daemons run. */
export interface Deployment {
  readonly store: Store;
  readonly machines: readonly Machine[];
}

/** Starts the store and the daemons; the instances are the case's. */
export async function deploy(
  { zones, groups, configuration }: DeploymentPlan,
  { folder }: CaseContext,
): Promise<Deployment> {
  const slots = groups.flatMap((group) =>
    Array.from({ length: group.count }, () => group)
  );
  const [storeAddress = "", ...addresses] = await pickAddresses(
    slots.length + 1,
  );
  const store = new Store();
  await store.listen(storeAddress);
  store.put("config", "main", createConfiguration(configuration));
  const machines = slots.map(({ zone, service, settings = {} }, index) => {
    const plan: MachinePlan = {
      ...{ zone, service, zones, storeAddress, settings },
      address: addresses[index] ?? "",
    };
    return new Machine(plan, folder);
  });
  machines.forEach((machine) => machine.start());
  return { store, machines };
}

/** Waits until every daemon says that it is ready. */
export async function waitUntilReady(
  machines: readonly Machine[],
): Promise<void> {
  await waitFor("all daemons are ready", async () => {
    const ready = await Promise.all(machines.map((each) => each.isReady()));
    return ready.every(Boolean);
  }, READY_MS);
}

function showLogs(folder: string): void {
  for (const name of readdirSync(folder).filter((each) => /log$/.test(each))) {
    const lines = readFileSync(join(folder, name), "utf8").trim().split("\n");
    const last = lines.slice(-SHOWN_LOG_LINES).join("\n");
    process.stderr.write(`${name}:\n${last}\n`);
  }
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held,
 * and 2 if the case could not run.
 *
 * @param run - Plays the case; returns whether the rule was broken
 */
export async function runCase(
  run: (context: CaseContext) => Promise<boolean>,
): Promise<never> {
  const recordPath = process.argv[2] ?? "record.txt";
  const folder = mkdtempSync(join(tmpdir(), "celeryhollow-review-"));
  writeFileSync(recordPath, "");
  const record = (text: string) =>
    appendFileSync(recordPath, `${(now() / 1_000).toFixed(3)} s ${text}\n`);
  const context: CaseContext = {
    ...{ folder, record, hasTrouble: process.env["TROUBLE"] !== "0" },
    report: (text) => {
      record(text);
      process.stdout.write(`${text}\n`);
    },
  };
  process.once("exit", () => {
    killDaemons();
    rmSync(folder, { recursive: true, force: true });
  });
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(EXIT_CODES.notRun));
  }
  setTimeout(() => {
    context.report("the case took too long");
    process.exit(EXIT_CODES.notRun);
  }, LIMIT_MS).unref();
  context.record(`trouble: ${context.hasTrouble}`);
  try {
    const isBroken = await run(context);
    context.report(isBroken ? "the rule was broken" : "the rule held");
    process.exit(isBroken ? EXIT_CODES.broken : EXIT_CODES.held);
  } catch (error) {
    context.report(`the case could not run: ${(error as Error).stack}`);
    showLogs(folder);
    process.exit(EXIT_CODES.notRun);
  }
}
