/**
 * A few complete daemons in one process, each with a backend server stand-in and
 * connected by the real peer protocol.
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
export interface SmallFleetVm {
  readonly address: string;
  readonly service: string;
  readonly region?: string;
  readonly failureDomain?: string;
  readonly behavior?: Partial<BackendBehavior>;
}

/** VMs and settings of a small fleet. */
export interface SmallFleetPlan {
  readonly vms: readonly SmallFleetVm[];
  /** Address of the object API; must not be the address of a VM. */
  readonly storeAddress: string;
  readonly configuration?: Configuration;
  readonly protection?: "on" | "off";
  /** Maximum time that a stopping daemon waits for requests in progress, in milliseconds; 1 by default. */
  readonly drainTimeoutMs?: number;
  /** Link addresses to dial in place of the VM addresses that are the keys. */
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

  /** Returns the base URL of a VM's caller port. */
  entryUrl(index: number): string {
    return `http://${this.#plan.vms[index]?.address}:${PORTS.caller}`;
  }

  /** Starts the store, daemons and backend servers, and waits until each daemon knows every instance. */
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

  /** Lists the runs of all backend servers of a service. */
  listRuns(service: string): BackendServerStandIn["runs"] {
    return this.backendServers.flatMap(({ runs }) => runs)
      .filter((run) => run.service === service);
  }

  /** Number of calls running on all backend servers. */
  get activeCount(): number {
    return this.daemons.reduce(
      (sum, { environment }) => sum + environment.activeCalls.count,
      0,
    );
  }

  /** Stops the backend servers, the daemons and the store. */
  async stop(): Promise<void> {
    await Promise.all(this.backendServers.map((server) => server.stop()));
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    this.#store.close();
  }

  get #storeUrl(): string {
    return `http://${this.#plan.storeAddress}:${STORE_PORT}`;
  }

  #createDaemon(vm: SmallFleetVm): Daemon {
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
 * @returns Resolves when it holds; rejects after 30 seconds
 *
 * @example
 * await waitUntil(() => fleet.activeCount === 0);
 */
export async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > deadlineMs) {
      throw new Error("timed out waiting for the condition");
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
