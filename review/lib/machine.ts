/**
 * A machine of the deployment: its settings file, the process of its daemon, and
 * the platform's questions for readiness.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { BOUNDS, createSettings, PORTS } from "./deployment.ts";
import type { MachinePlan } from "./deployment.ts";
import { now, sleep } from "./time.ts";

const DEPLOY_FILE = "deploy/system.toml";

const READINESS_INTERVAL_MS = 1_000;

/** Misses in a row that take a machine out. */
const MAX_MISSES = 2;

/** Processes that still run. */
const children = new Set<ChildProcess>();

/** Kills every daemon that was started here. */
export function killDaemons(): void {
  children.forEach((child) => child.kill("SIGKILL"));
}

function readRunCommand(): string[] {
  const [, command = ""] =
    /^run = "(.*)"$/m.exec(readFileSync(DEPLOY_FILE, "utf8")) ?? [];
  return command.split(" ");
}

/** End of a process. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A machine and its daemon. */
export class Machine {
  readonly plan: MachinePlan;
  /** When the daemon was started last, in milliseconds since the start of the script. */
  startedAtMs = 0;
  #child: ChildProcess | undefined;
  #ended: Promise<ProcessEnd> = Promise.resolve({ code: 0, signal: null });
  #misses = 0;
  readonly #settingsPath: string;
  readonly #logPath: string;

  constructor(plan: MachinePlan, folder: string) {
    this.plan = plan;
    this.#settingsPath = join(folder, `${plan.address}.conf`);
    this.#logPath = join(folder, `${plan.address}.log`);
    this.#writeSettings({});
  }

  get address(): string {
    return this.plan.address;
  }

  /** Whether the last readiness questions keep the machine in. */
  get isIn(): boolean {
    return this.#misses < MAX_MISSES;
  }

  /** Starts the daemon with the command of the deploy file. */
  start(): void {
    if (this.startedAtMs > 0) {
      // Only the first start of the whole system is its bootstrap.
      this.#writeSettings({ bootstrap: "false" });
    }
    const [file = "", ...words] = readRunCommand();
    const { PATH, HOME, LANG = "C" } = process.env;
    const child = spawn(file, words, {
      env: { PATH, HOME, LANG, CELERYHOLLOW_CONFIG: this.#settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.startedAtMs = now();
    this.#child = child;
    children.add(child);
    const log = (chunk: Uint8Array) => appendFileSync(this.#logPath, chunk);
    child.stdout?.on("data", log);
    child.stderr?.on("data", log);
    this.#ended = new Promise((resolve) =>
      child.once("close", (code, signal) => {
        children.delete(child);
        resolve({ code, signal });
      })
    );
  }

  #writeSettings(changed: Readonly<Record<string, string>>): void {
    const settings = { ...this.plan.settings, ...changed };
    writeFileSync(
      this.#settingsPath,
      createSettings({ ...this.plan, settings }),
    );
  }

  /** Sends SIGKILL; resolves when the process has ended. */
  kill(): Promise<ProcessEnd> {
    this.#child?.kill("SIGKILL");
    return this.#ended;
  }

  /** Stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace. */
  async stop(): Promise<ProcessEnd> {
    const child = this.#child;
    child?.kill("SIGTERM");
    const timer = setTimeout(() => child?.kill("SIGKILL"), BOUNDS.graceMs);
    const end = await this.#ended;
    clearTimeout(timer);
    return end;
  }

  /** Resident memory of the daemon's process, in bytes; 0 if it has ended. */
  readMemoryBytes(): number {
    try {
      const text = readFileSync(`/proc/${this.#child?.pid}/status`, "utf8");
      const [, kibibytes = "0"] = /VmRSS:\s+(\d+) kB/.exec(text) ?? [];
      return Number(kibibytes) * 1_024;
    } catch {
      return 0;
    }
  }

  /** Asks for the daemon's readiness. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const request = get({
        ...{ host: this.address, port: PORTS.readiness, agent: false },
        ...{ path: "/api/readiness", timeout: 500 },
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.once("timeout", () => request.destroy());
      request.once("error", () => resolve(false));
    });
  }

  /** Asks for readiness once a second, as the platform does. */
  async watchReadiness(): Promise<void> {
    for (;;) {
      const startedAtMs = now();
      const isReady = await this.isReady();
      this.#misses = isReady ? 0 : this.#misses + 1;
      await sleep(startedAtMs + READINESS_INTERVAL_MS - now());
    }
  }
}

/**
 * Whether the clients on a machine receive new work: unless two questions in a
 * row were missed, or if fewer than half of the zone's daemons are in.
 *
 * @param machine - The machine
 * @param machines - All machines
 */
export function receivesWork(
  machine: Machine,
  machines: readonly Machine[],
): boolean {
  const zone = machines.filter(({ plan }) => plan.zone === machine.plan.zone);
  const isIn = zone.filter((other) => other.isIn).length;
  return machine.isIn || isIn < zone.length / 2;
}
