// deno-lint-ignore-file explicit-module-boundary-types -- JavaScript has no types to state

/**
 * A small deployment of the project's own daemon program for the scripts of this
 * review: daemons as separate processes, started with the command of the deploy
 * file, beside stand-ins of the platform's store and of instances.
 *
 * Every address is a loopback address. Each machine has one of its own, and the
 * ports are the same on all machines.
 */

import { spawn } from "node:child_process";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";
import { Instance } from "./instance.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of the small sites, as the settings state them. */
const BOUNDS = [
  ["seed_lag_s", 3],
  ["addr_reuse_s", 2],
  ["contact_ms", 4000],
  ["ack_ms", 4000],
  ["catch_up_s", 4],
  ["drain_ms", 2500],
  ["grace_s", 6],
  ["loss_slack_ms", 200],
  ["config_apply_ms", 2500],
  ["rollback_slack_ms", 250],
  ["max_stretch_ms", 5000],
  ["retry_budget_ratio", 0.2],
  ["budget_window_s", 10],
  ["retry_slack", 48],
  ["recovery_s", 15],
];

const PORTS = {
  outbound: 8304,
  inbound: 8300,
  ready: 8302,
  control: 8306,
  app: 8301,
  peer: 7620,
  store: 8309,
};

/** Waits for some milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function readRunLine() {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const [, line = ""] = /^run = "(.*)"$/m.exec(text) ?? [];
  return line.split(" ");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Chooses a free block of loopback addresses. */
async function chooseNet() {
  for (let tries = 0; tries < 50; tries += 1) {
    const net = `127.${20 + Math.floor(Math.random() * 200)}.${
      Math.floor(Math.random() * 250)
    }`;
    const free = await Promise.all(
      [1, 2, 3, 4].flatMap((host) =>
        Object.values(PORTS).map((port) => isFree(`${net}.${host}`, port))
      ),
    );
    if (free.every(Boolean)) {
      return net;
    }
  }
  throw new Error("no free loopback addresses");
}

/** One machine: a daemon process, and the stand-in of the instance beside it. */
export class Machine {
  constructor(fleet, { host, zone, region, service, index, memoryMb }) {
    Object.assign(this, { fleet, host, zone, region, service, index });
    this.memoryMb = memoryMb;
    this.lifetimes = 0;
    this.ends = [];
    this.instance = undefined;
    this.child = undefined;
    this.isExpectedToRun = false;
    this.settingsPath = join(fleet.folder, `node-${index}.conf`);
  }

  get settings() {
    const { host, zone, region, service, index, fleet } = this;
    const zones = [...fleet.zones].map(([name, of]) => `zones.${name}=${of}`);
    const bounds = BOUNDS.map(([name, value]) => `bounds.${name}=${value}`);
    return [
      `node=sidecar-${zone}-${index}`,
      "role=daemon",
      "machine_class=sidecar",
      "serves=sidecar",
      `ip=${host}`,
      `zone=${zone}`,
      `region=${region}`,
      ...zones,
      `listen.inbound=${host}:${PORTS.inbound}`,
      `listen.outbound=${host}:${PORTS.outbound}`,
      `listen.ready=${host}:${PORTS.ready}`,
      `listen.control=${host}:${PORTS.control}`,
      `internal_ports=${PORTS.peer},${PORTS.peer + 15}`,
      "seeds=",
      "bootstrap=true",
      "in_tolerance=false",
      "limits.cpu_share=0.54",
      "limits.cpu_cores=2",
      `limits.memory_mb=${this.memoryMb}`,
      "limits.max_fds=4100",
      "limits.link_mbps=1000.0",
      "limits.disk_mb=0",
      "discovery=local",
      "entry=local",
      "heartbeat_ms=1500",
      "contracts=base,drain,config,cost,retry,recover,pressure,platform",
      "fault_tolerance.machines=2",
      "fault_tolerance.zones=0",
      "fault_tolerance.regions=0",
      ...bounds,
      `app_addr=${host}:${PORTS.app}`,
      `service=${service}`,
      `platform.address=${fleet.store.host}:${fleet.store.port}`,
      "platform.form=objects",
      "platform.writes_per_s=400",
      "platform.reads_per_s=2000",
      "platform.history_s=20",
      "platform.max_value_bytes=1048576",
      "platform.min_ttl_ms=1000",
      "",
    ].join("\n");
  }

  /** Starts the daemon; it is started again after a short delay when it ends, as on the platform. */
  startDaemon() {
    writeFileSync(this.settingsPath, this.settings);
    this.isExpectedToRun = true;
    this.#spawn();
  }

  #spawn() {
    const [file, ...words] = readRunLine();
    const log = openSync(
      join(this.fleet.folder, `daemon-${this.index}.log`),
      "a",
    );
    const { PATH, HOME } = process.env;
    const child = spawn(file, words, {
      cwd: ROOT,
      env: { PATH, HOME, CELERYHOLLOW_CONFIG: this.settingsPath },
      stdio: ["ignore", log, log],
    });
    this.child = child;
    this.lifetimes += 1;
    let isDone = false;
    this.signals = [];
    const { signals } = this;
    child.once("exit", (code, signal) => {
      if (isDone) {
        return;
      }
      isDone = true;
      const isOwn = !signals.some((each) =>
        each !== "SIGHUP" && each !== "SIGSTOP" && each !== "SIGCONT"
      );
      this.ends.push({ atMs: this.fleet.nowMs, code, signal, isOwn });
      this.fleet.record("daemon-ended", {
        ...{ host: this.host, code, signal, isOwn },
      });
      if (this.isExpectedToRun && this.child === child) {
        setTimeout(
          () => this.isExpectedToRun && this.#spawn(),
          this.fleet.restartDelayMs,
        );
      }
    });
  }

  signal(name) {
    this.signals.push(name);
    this.child.kill(name);
    this.fleet.record("signal", { host: this.host, name });
  }

  /** Ends the daemon for good. */
  kill() {
    this.isExpectedToRun = false;
    this.signals?.push("SIGKILL");
    this.child?.kill("SIGKILL");
  }

  async isReady() {
    const response = await this.fleet.get(
      this.host,
      PORTS.ready,
      "/api/readiness",
    );
    return response === 200;
  }
}

/** A deployment. */
export class Fleet {
  constructor({ zones }) {
    this.zones = new Map(Object.entries(zones));
    this.startedAtMs = performance.now();
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.machines = [];
    this.lines = [];
    /** Time after which the platform starts a process that has ended again. */
    this.restartDelayMs = 500;
    process.once("exit", () => this.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"]) {
      process.once(signal, () => process.exit(2));
    }
  }

  get nowMs() {
    return Math.round(performance.now() - this.startedAtMs);
  }

  /** Adds a line to the record. */
  record(event, facts = {}) {
    this.lines.push(JSON.stringify({ atMs: this.nowMs, event, ...facts }));
  }

  async open() {
    this.net = await chooseNet();
    this.store = new Store({ host: `${this.net}.1`, port: PORTS.store });
    await this.store.listen();
  }

  addMachine({ zone, service, memoryMb = 350, ...instanceOptions }) {
    const index = this.machines.length;
    const machine = new Machine(this, {
      ...{ zone, service, index, memoryMb, region: this.zones.get(zone) },
      host: `${this.net}.${10 + index}`,
    });
    machine.instance = new Instance({
      host: machine.host,
      port: PORTS.app,
      controlPort: PORTS.control,
      outboundPort: PORTS.outbound,
      id: `i-${index}-${process.pid.toString(16)}`,
      service,
      zone,
      record: (event, facts) => this.record(event, facts),
      ...instanceOptions,
    });
    this.machines.push(machine);
    return machine;
  }

  /** Sends GET; resolves to the status, 0 without a response. */
  get(host, port, path) {
    return fetch(`http://${host}:${port}${path}`, {
      signal: AbortSignal.timeout(2000),
    }).then(async (response) => {
      await response.arrayBuffer();
      return response.status;
    }, () => 0);
  }

  /** Waits until all machines are ready. */
  async waitReady(timeoutMs = 20000) {
    const until = performance.now() + timeoutMs;
    for (const machine of this.machines) {
      while (!(await machine.isReady())) {
        if (performance.now() > until) {
          return false;
        }
        await sleep(100);
      }
    }
    return true;
  }

  #killAll() {
    this.machines.forEach((machine) => machine.kill());
  }

  /** Ends everything, writes the record and removes the temporary folder. */
  async close(recordPath) {
    this.#killAll();
    await Promise.all(
      this.machines.map(({ instance }) => instance?.close()),
    );
    await this.store?.close();
    if (recordPath) {
      writeFileSync(recordPath, `${this.lines.join("\n")}\n`);
    }
    if (!process.env.KEEP) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

export { PORTS };
