/**
 * Questions to every daemon of a fleet.
 */

import { AdminClient } from "./admin_client.ts";

/** Where and as whom to ask. */
export interface FleetClientOptions {
  /** Base URL of any daemon's admin port; the others use the same port. */
  readonly adminUrl: string;
  readonly fleetToken: string;
}

/** A daemon that can be asked. */
export interface FleetDaemon {
  readonly address: string;
  readonly failureDomain: string;
  readonly adminUrl: string;
}

/** What is in force at a daemon; undefined where it could not be asked. */
export interface DaemonVersion {
  readonly daemon: FleetDaemon;
  readonly version: number | undefined;
}

interface StatusMember {
  readonly address: string;
  readonly failureDomain: string;
  readonly state: string;
}

/** Daemons asked at a time. */
const CONCURRENCY = 32;

/** Asks the daemons of a fleet, which it finds from one of them. */
export class FleetClient {
  readonly #options: FleetClientOptions;

  constructor(options: FleetClientOptions) {
    this.#options = options;
  }

  /**
   * Lists the daemons. A daemon knows all of its own failure domain, so one of
   * each failure domain is asked for its members.
   */
  async listDaemons(): Promise<FleetDaemon[]> {
    const found = new Map<string, FleetDaemon>();
    const askedDomains = new Set<string>();
    await this.#addMembers(this.#options.adminUrl, found);
    for (const daemon of found.values()) {
      if (
        !askedDomains.has(daemon.failureDomain) &&
        await this.#addMembers(daemon.adminUrl, found)
      ) {
        askedDomains.add(daemon.failureDomain);
      }
    }
    return [...found.values()];
  }

  /** Asks each daemon which version is in force there. */
  async readVersions(
    daemons: readonly FleetDaemon[],
  ): Promise<DaemonVersion[]> {
    const versions: DaemonVersion[] = [];
    const waiting = [...daemons];
    const work = async () => {
      for (let daemon = waiting.pop(); daemon; daemon = waiting.pop()) {
        versions.push({ daemon, version: await this.#readVersion(daemon) });
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, work));
    return versions;
  }

  async #readVersion({ adminUrl }: FleetDaemon): Promise<number | undefined> {
    const answer = await this.#get(adminUrl, "/v1/configuration");
    return (answer as { version?: number } | undefined)?.version;
  }

  async #addMembers(
    adminUrl: string,
    found: Map<string, FleetDaemon>,
  ): Promise<boolean> {
    const status = await this.#get(adminUrl, "/v1/status") as
      | { members?: StatusMember[] }
      | undefined;
    for (const { address, failureDomain, state } of status?.members ?? []) {
      if (state !== "dead") {
        const url = new URL(this.#options.adminUrl);
        url.hostname = address;
        found.set(address, { address, failureDomain, adminUrl: url.origin });
      }
    }
    return status !== undefined;
  }

  async #get(adminUrl: string, path: string): Promise<unknown> {
    const { fleetToken } = this.#options;
    const answer = await new AdminClient({ adminUrl, fleetToken }).get(path);
    return answer.isOk() ? answer.value : undefined;
  }
}
