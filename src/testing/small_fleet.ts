/**
 * A few daemons in one process, with the real peer code between them, each
 * with a backend server stand-in.
 */

import { connect } from "node:net";
import { writeConfiguration } from "./write_configuration.ts";
import { Daemon } from "../daemon/daemon.ts";
import type { Configuration, DaemonSettings } from "../generated/types.ts";
import { HttpObjectStore } from "../store/mod.ts";
import { BackendServerStandIn } from "./backend_server_stand_in.ts";
import type { BackendBehavior } from "./backend_server_stand_in.ts";
import {
  createTestConfiguration,
  TEST_CHAINS,
} from "./create_test_configuration.ts";
import { ObjectApiStandIn } from "./object_api_stand_in.ts";

/** One VM of a small fleet. */
export interface SmallVm {
  readonly address: string;
  readonly service: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly behavior?: Partial<BackendBehavior>;
}

/** What a small fleet consists of. */
export interface SmallFleetPlan {
  readonly vms: readonly SmallVm[];
  /** Address of the object API; no VM may have it. */
  readonly storeAddress: string;
  readonly configuration?: Configuration;
  readonly protection?: "on" | "off";
  /** Longest wait of a stopping daemon for requests in progress; next to none by default. */
  readonly drainTimeoutMs?: number;
  /** Addresses of links to be used in place of a VM's own address. */
  readonly links?: Readonly<Record<string, string>>;
}

const SLOTS = 16;
const POLL_MS = 5;
const WAIT_TIMEOUT_MS = 30_000;
const STORE_PORT = 7000;
const PORTS = { caller: 7100, backend: 7101, peer: 7102, admin: 7103 };
const BACKEND_SERVER_PORT = 7200;

/** A running fleet. */
export class SmallFleet {
  readonly daemons: Daemon[];
  readonly backendServers: BackendServerStandIn[];
  readonly #plan: SmallFleetPlan;
  readonly #store = new ObjectApiStandIn();

  constructor(plan: SmallFleetPlan) {
    this.#plan = plan;
    this.daemons = plan.vms.map((vm) => this.#createDaemon(vm));
    this.backendServers = plan.vms.map(({ address, service, behavior }) =>
      new BackendServerStandIn({
        address,
        port: BACKEND_SERVER_PORT,
        daemonPort: PORTS.backend,
        service,
        slots: SLOTS,
        chains: TEST_CHAINS,
        ...behavior === undefined ? {} : { behavior },
      })
    );
  }

  /** Caller URL of a VM. */
  entryUrl(index: number): string {
    return `http://${this.#plan.vms[index]?.address}:${PORTS.caller}`;
  }

  /** Starts everything and waits until each daemon knows every instance. */
  async start(): Promise<void> {
    const { storeAddress, configuration = createTestConfiguration() } =
      this.#plan;
    await this.#store.listen(storeAddress, STORE_PORT);
    const client = new HttpObjectStore(this.#storeUrl);
    await writeConfiguration(client, configuration);
    await client.close();
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    await waitUntil(() => this.daemons.every(({ isReady }) => isReady));
    await Promise.all(this.backendServers.map((server) => server.start()));
    const services = this.#plan.vms.map(({ service }) => service);
    await waitUntil(() =>
      this.daemons.every(({ environment }) =>
        services.every((service) =>
          environment.membership.listInstances(service).length ===
            services.filter((other) => other === service).length
        )
      )
    );
  }

  /** Runs of all backend servers of a service. */
  listRuns(service: string): BackendServerStandIn["runs"] {
    return this.backendServers.flatMap(({ runs }) => runs)
      .filter((run) => run.service === service);
  }

  /** Calls that run on any backend server. */
  get activeCount(): number {
    return this.daemons.reduce(
      (sum, { environment }) => sum + environment.activeCalls.count,
      0,
    );
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.backendServers.map((server) => server.stop()));
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    this.#store.close();
  }

  get #storeUrl(): string {
    return `http://${this.#plan.storeAddress}:${STORE_PORT}`;
  }

  #createDaemon(vm: SmallVm): Daemon {
    const settings: DaemonSettings = {
      address: vm.address,
      region: vm.region ?? "vlaanderen",
      failureDomain: vm.failureDomain ?? "gent-a",
      callerPort: PORTS.caller,
      backendPort: PORTS.backend,
      peerPort: PORTS.peer,
      adminPort: PORTS.admin,
      storeUrl: this.#storeUrl,
      fleetToken: "test-token",
      protection: this.#plan.protection ?? "on",
      seeds: "",
      logLevel: "error",
      randomSeed: 7,
      drainTimeoutMs: this.#plan.drainTimeoutMs ?? 1,
      leaveNoticeMs: 1_000,
      maxBodyBytes: 1_048_576,
    };
    const links = this.#plan.links ?? {};
    return new Daemon(settings, {
      dial: ({ address, peerPort }) =>
        connect({ host: links[address] ?? address, port: peerPort }),
    });
  }
}

/**
 * Waits until a condition holds.
 *
 * @param isDone - The condition
 * @returns When it holds; rejected when it does not hold in time
 *
 * @example
 * await waitUntil(() => fleet.activeCount === 0);
 */
export async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > deadlineMs) {
      throw new Error("the condition did not come to hold in time");
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
