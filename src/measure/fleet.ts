/**
 * Starts a fleet on loopback addresses: a real daemon process for each VM, and
 * stand-ins for the object API and the backend servers in this process.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { DAEMON_NODE_FLAGS } from "../constants/node_flags.ts";
import type {
  Configuration,
  QuestionnaireAnswers,
} from "../generated/types.ts";
import { chooseDaemonProgram } from "./choose_daemon_program.ts";
import { HttpObjectStore } from "../store/mod.ts";
import { BackendServerStandIn } from "../testing/backend_server_stand_in.ts";
import type { BackendBehavior } from "../testing/backend_server_stand_in.ts";
import { writeConfiguration } from "../testing/write_configuration.ts";
import { LINKS_VARIABLE, ROUTING_VARIABLE } from "../testing/links_variable.ts";
import { ObjectApiStandIn } from "../testing/object_api_stand_in.ts";

/** Shared secret of the fleets that experiments start. */
export const FLEET_TOKEN = "experiment-token";

/** Ports that are used on the address of every VM. */
export const PORTS = {
  caller: 7100,
  backend: 7101,
  peer: 7102,
  admin: 7103,
  backendServer: 7200,
} as const;

/** VM of a fleet plan. */
export interface VmPlan {
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly service: string;
  readonly slots: number;
  readonly coldStartMs?: number;
  readonly behavior?: Partial<BackendBehavior>;
  /** Simulated links: addresses that the daemon dials instead of other VMs, by VM address. */
  readonly links?: Readonly<Record<string, string>>;
}

/** Configuration and VMs of a fleet. */
export interface FleetPlan {
  readonly configuration: Configuration;
  /** Questionnaire answers from which the configuration was generated. */
  readonly answers?: QuestionnaireAnswers;
  /** Services that call each other in turn, by the first segment of the request path. */
  readonly chains: Readonly<Record<string, readonly string[]>>;
  readonly vms: readonly VmPlan[];
  readonly storeAddress: string;
  readonly storePort: number;
  readonly protection: "on" | "off";
  /** Load balancing of daemons with `links`; adaptive by default. */
  readonly routing?: "adaptive" | "random";
  readonly randomSeed: number;
}

/** Running VM: its daemon process and its backend server stand-in. */
export interface RunningVm {
  readonly plan: VmPlan;
  readonly daemon: ChildProcess;
  readonly backendServer: BackendServerStandIn;
  /** Base URL of the daemon's caller port. */
  readonly entryUrl: string;
}

const LINKED_DAEMON_PROGRAM = fileURLToPath(
  new URL("../testing/linked_daemon.js", import.meta.url),
);
const POLL_INTERVAL_MS = 50;
const WAIT_TIMEOUT_MS = 20_000;

/** Starts, controls and stops the processes of a fleet plan. */
export class Fleet {
  readonly plan: FleetPlan;
  readonly store = new ObjectApiStandIn();
  readonly vms: RunningVm[] = [];

  constructor(plan: FleetPlan) {
    this.plan = plan;
  }

  /** Base URLs of the caller ports of all daemons. */
  get entryUrls(): string[] {
    return this.vms.map(({ entryUrl }) => entryUrl);
  }

  /**
   * Starts the fleet and waits until each daemon is ready and knows the instances
   * that it may call. Throws if a daemon exits or is not ready in time.
   */
  async start(): Promise<void> {
    const { storeAddress, storePort, configuration, answers } = this.plan;
    await this.store.listen(storeAddress, storePort);
    const client = new HttpObjectStore(this.storeUrl);
    await writeConfiguration(client, configuration, answers);
    await client.close();
    for (const vm of this.plan.vms) {
      this.vms.push(this.#launchVm(vm));
    }
    await Promise.all(this.vms.map(async (vm) => {
      await this.waitUntilReady(vm);
      await vm.backendServer.start();
    }));
    await Promise.all(this.vms.map((vm) => this.#waitUntilMembersKnown(vm)));
    const exited = this.vms.find(({ daemon }) => daemon.exitCode !== null);
    if (exited) {
      throw new Error(
        `daemon at ${exited.plan.address} exited during startup; is the address in use?`,
      );
    }
  }

  /** Base URL of the object API stand-in. */
  get storeUrl(): string {
    return `http://${this.plan.storeAddress}:${this.plan.storePort}`;
  }

  /** Waits until a daemon's readiness endpoint returns 200. */
  async waitUntilReady(vm: RunningVm): Promise<void> {
    await waitFor(async () => {
      const response = await request(
        `http://${vm.plan.address}:${PORTS.admin}/ready`,
      );
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  /** Fetches the members from a daemon's status endpoint. */
  async readStatus(
    vm: RunningVm,
  ): Promise<{ members: { service: string; state: string }[] }> {
    const response = await request(
      `http://${vm.plan.address}:${PORTS.admin}/v1/status`,
      {
        headers: { authorization: `Bearer ${FLEET_TOKEN}` },
      },
    );
    return await response.body.json() as {
      members: { service: string; state: string }[];
    };
  }

  /** Reads the resident memory of a daemon process, in mebibytes. */
  async readResidentMb(vm: RunningVm): Promise<number> {
    const status = await readFile(`/proc/${vm.daemon.pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
  }

  /** Replaces the daemon of a VM, which must have exited, by a new process. */
  relaunch(vm: RunningVm): RunningVm {
    const next = { ...vm, daemon: this.#launchDaemon(vm.plan) };
    this.vms.splice(this.vms.indexOf(vm), 1, next);
    return next;
  }

  /** Stops the backend servers, kills the daemons and closes the object API. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map(async ({ daemon, backendServer }) => {
      await backendServer.stop();
      if (daemon.exitCode === null && daemon.signalCode === null) {
        const exited = once(daemon, "exit");
        daemon.kill("SIGKILL");
        await exited;
      }
    }));
    this.store.close();
  }

  #launchVm(plan: VmPlan): RunningVm {
    const { address, service, slots, coldStartMs, behavior } = plan;
    const backendServer = new BackendServerStandIn({
      address,
      port: PORTS.backendServer,
      daemonPort: PORTS.backend,
      service,
      slots,
      chains: this.plan.chains,
      ...coldStartMs === undefined ? {} : { coldStartMs },
      ...behavior === undefined ? {} : { behavior },
    });
    return {
      plan,
      daemon: this.#launchDaemon(plan),
      backendServer,
      entryUrl: `http://${address}:${PORTS.caller}`,
    };
  }

  #launchDaemon(plan: VmPlan): ChildProcess {
    const settings: Record<string, string> = {
      "--address": plan.address,
      "--region": plan.region,
      "--failure-domain": plan.failureDomain,
      "--fleet-token": FLEET_TOKEN,
      "--store-url": this.storeUrl,
      "--protection": this.plan.protection,
      "--random-seed": String(this.plan.randomSeed + this.vms.length + 1),
      "--log-level": "error",
    };
    const program = plan.links ? LINKED_DAEMON_PROGRAM : chooseDaemonProgram();
    const variables = plan.links && {
      [LINKS_VARIABLE]: JSON.stringify(plan.links),
      [ROUTING_VARIABLE]: this.plan.routing ?? "adaptive",
    };
    return spawn("node", [
      ...DAEMON_NODE_FLAGS,
      program,
      ...Object.entries(settings).flat(),
    ], {
      stdio: ["ignore", "inherit", "inherit"],
      env: { ...process.env, ...variables },
    });
  }

  /** Waits until a daemon sees every instance that its callers or its backend server may call. */
  async #waitUntilMembersKnown(vm: RunningVm): Promise<void> {
    const needed = this.#listNeededServices(vm);
    const expected = this.plan.vms.filter(({ service }) => needed.has(service));
    await waitFor(async () => {
      const { members } = await this.readStatus(vm);
      const known = members.filter(({ service, state }) =>
        needed.has(service) && state === "alive"
      );
      return known.length >= expected.length;
    });
  }

  #listNeededServices({ plan }: RunningVm): Set<string> {
    const { requests, services } = this.plan.configuration;
    const own = services.find(({ name }) => name === plan.service);
    return new Set([
      ...requests.map(({ service }) => service),
      ...own?.calls ?? [],
    ]);
  }
}

/**
 * Polls a condition until it holds. A rejected check counts as false.
 *
 * @param check - Condition to poll
 * @returns Resolves when the condition holds; rejects if it does not hold in time
 *
 * @example
 * await waitFor(async () => (await readVersion()) > 3);
 */
export async function waitFor(check: () => Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await check().catch(() => false))) {
    if (performance.now() > deadlineMs) {
      throw new Error("timed out while waiting for the fleet");
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
