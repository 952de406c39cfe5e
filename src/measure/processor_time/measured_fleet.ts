/**
 * Two daemons of a built program, each beside one instance stand-in. Requests
 * enter at the first daemon and run in its instance, which calls the other one's
 * service several times, one call after the other.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { readFile, writeFile } from "node:fs/promises";
import { Agent, request as sendRequest } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { InstanceStandIn } from "../../../platform/testing/instance_stand_in.ts";
import {
  createOperatorConfiguration,
  createSettingsText,
  FLEET_PORTS,
} from "../../../platform/testing/platform_fleet.ts";
import { StoreStandIn } from "../../../platform/testing/store_stand_in.ts";
import { WIRE_HEADERS } from "../../../platform/wire_names.ts";
import { RandomSource } from "../../time/mod.ts";
import { readProcessCounts } from "./read_process_counts.ts";
import type { ProcessCounts } from "./read_process_counts.ts";

/** Nested calls of a request. */
const NESTED_CALLS = 12;

/** Runs that a request causes. */
export const RUNS_PER_REQUEST = 1 + NESTED_CALLS;

const HOST = "app.example";
const WORK_MS = 2;
const SLOTS = 200;
const PADDING_BYTES = 400;
const TIME_LIMIT_MS = 5_000;
const OK_STATUS = 200;
const SEED = 7;
const MS_PER_SECOND = 1_000;

/** Runs that a load has had, and requests that got another response than 200. */
export interface LoadResult {
  readonly runs: number;
  readonly failures: number;
}

/** Daemons of one checkout with their instances and the store. */
export class MeasuredFleet {
  readonly #checkout: string;
  readonly #network: number;
  readonly #daemons: ChildProcess[] = [];
  readonly #instances: InstanceStandIn[];
  readonly #store = new StoreStandIn();
  readonly #agent = new Agent({ keepAlive: true });
  readonly #random = new RandomSource(SEED);
  #requestCount = 0;

  constructor(checkout: string, network: number) {
    this.#checkout = checkout;
    this.#network = network;
    const path = "/nested/1";
    this.#instances = ["front", "back"].map((service, index) => {
      const instance = new InstanceStandIn({
        id: `instance-${index}`,
        ...{ service, address: this.#addresses[index] ?? "", slots: SLOTS },
        workMs: WORK_MS,
        port: FLEET_PORTS.instance,
        callersPort: FLEET_PORTS.callers,
        announcementsPort: FLEET_PORTS.announcements,
        calls: index === 0 ? [{ host: HOST, path, count: NESTED_CALLS }] : [],
        areCallsSequential: true,
      });
      instance.behavior.paddingBytes = PADDING_BYTES;
      return instance;
    });
  }

  get #addresses(): string[] {
    return [1, 2].map((vm) => `127.${this.#network}.1.${vm}`);
  }

  /** Starts the store, the daemons and the instances; settings files go to `folder`. */
  async start(folder: string): Promise<void> {
    const storeAddress = `127.${this.#network}.4.1`;
    await this.#store.listen(storeAddress, FLEET_PORTS.store);
    const routes = [
      { name: "root", path: "/tree/", service: "front" },
      { name: "nested", path: "/nested/", service: "back" },
    ].map((route) => ({ ...route, timeoutMs: TIME_LIMIT_MS }));
    const configuration = createOperatorConfiguration(1, routes);
    this.#store.put("config", "main", configuration);
    const deployment = await readFile(
      join(this.#checkout, "deploy/system.toml"),
      "utf8",
    );
    const [, command = ""] = /^run = "node (.*)"$/m.exec(deployment) ?? [];
    for (const [index, address] of this.#addresses.entries()) {
      const service = index === 0 ? "front" : "back";
      const settingsPath = join(folder, `${address}.settings`);
      const settings = createSettingsText({ address, service }, storeAddress);
      await writeFile(settingsPath, settings);
      this.#daemons.push(spawn(process.execPath, command.split(" "), {
        cwd: this.#checkout,
        env: { PATH: process.env["PATH"], CELERYHOLLOW_CONFIG: settingsPath },
        stdio: ["ignore", "ignore", "inherit"],
      }));
    }
    await Promise.all(this.#instances.map((instance) => instance.start()));
  }

  /** Reads the costs of both daemons together since their start; the memory is that of the larger one. */
  async readCounts(): Promise<ProcessCounts> {
    const [first, second] = await Promise.all(
      this.#daemons.map(({ pid }) => readProcessCounts(pid)),
    );
    if (!first || !second) {
      throw new Error("the daemons have not been started");
    }
    return {
      cpuMs: first.cpuMs + second.cpuMs,
      systemCalls: first.systemCalls + second.systemCalls,
      wakeUps: first.wakeUps + second.wakeUps,
      peakMb: Math.max(first.peakMb, second.peakMb),
    };
  }

  /** Sends requests at random times, at a mean rate that causes `runsPerSecond` runs, until they have caused `runs`; waits for the responses. */
  async load(
    { runs, runsPerSecond }: { runs: number; runsPerSecond: number },
  ): Promise<LoadResult> {
    const runsBefore = this.#countRuns();
    const meanMs = MS_PER_SECOND * RUNS_PER_REQUEST / runsPerSecond;
    const responses: Promise<boolean>[] = [];
    let dueAtMs = performance.now();
    for (let sent = 0; sent < runs; sent += RUNS_PER_REQUEST) {
      dueAtMs += -Math.log(1 - this.#random.nextFloat()) * meanMs;
      const delayMs = Math.max(0, dueAtMs - performance.now());
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      responses.push(this.#send());
    }
    const served = await Promise.all(responses);
    return {
      runs: this.#countRuns() - runsBefore,
      failures: served.filter((isServed) => !isServed).length,
    };
  }

  /** Kills the daemons and ends everything else. */
  async stop(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) =>
      new Promise((resolve) => {
        daemon.once("exit", resolve);
        daemon.kill("SIGKILL");
      })
    ));
    this.#instances.forEach((instance) => instance.stop());
    this.#agent.destroy();
    this.#store.close();
  }

  #countRuns(): number {
    return this.#instances.reduce((sum, { runs }) => sum + runs.length, 0);
  }

  #send(): Promise<boolean> {
    this.#requestCount += 1;
    const requestId = `r${this.#requestCount}`;
    return new Promise((resolve) => {
      const request = sendRequest({
        agent: this.#agent,
        host: this.#addresses[0],
        port: FLEET_PORTS.callers,
        path: `/tree/${this.#requestCount}`,
        headers: {
          host: HOST,
          [WIRE_HEADERS.requestId]: requestId,
          [WIRE_HEADERS.remainingMs]: String(TIME_LIMIT_MS),
        },
      }, (response) => {
        response.resume();
        response.once(
          "end",
          () => resolve(response.statusCode === OK_STATUS),
        );
      });
      request.once("error", () => resolve(false));
      request.end();
    });
  }
}
