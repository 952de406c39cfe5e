/**
 * Addresses, settings and configuration of a small deployment on loopback
 * addresses.
 */

import { createServer } from "node:net";

/** Ports on every machine; `store` is the port of the platform's store. */
export const PORTS = {
  instance: 8301,
  readiness: 8302,
  callers: 8304,
  control: 8306,
  store: 8309,
  peers: 7620,
} as const;

/** Bounds of the settings that the cases refer to, in milliseconds. */
export const BOUNDS = {
  contactMs: 4_000,
  drainMs: 2_500,
  graceMs: 6_000,
} as const;

/** Host that the clients' requests name. */
export const HOST = "h.example";

/** A machine of the deployment. */
export interface MachinePlan {
  readonly address: string;
  readonly zone: string;
  readonly service: string;
  /** Regions by zone. */
  readonly zones: Readonly<Record<string, string>>;
  readonly storeAddress: string;
  /** Fields that replace the usual ones. */
  readonly settings?: Readonly<Record<string, string>>;
}

/** A route of the operator's configuration. */
export interface RoutePlan {
  readonly name: string;
  readonly pathPrefix: string;
  readonly kind: "safe" | "unsafe" | "download" | "upload";
  readonly timeoutMs: number;
  readonly service: string;
}

/** A tenant of the operator's configuration. */
export interface TenantPlan {
  readonly name: string;
  readonly apiKeys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Content of the operator's configuration. */
export interface ConfigurationPlan {
  readonly services: readonly string[];
  readonly routes: readonly RoutePlan[];
  readonly tenants?: readonly TenantPlan[];
}

function isPortFree(address: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

async function isFree(address: string): Promise<boolean> {
  const free = await Promise.all(
    Object.values(PORTS).map((port) => isPortFree(address, port)),
  );
  return free.every(Boolean);
}

/**
 * Picks loopback addresses on which all ports are free.
 *
 * @param count - Number of addresses
 * @returns The addresses
 */
export async function pickAddresses(count: number): Promise<string[]> {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const block = 16 + Math.floor(Math.random() * 200);
    const subnet = Math.floor(Math.random() * 250);
    const addresses = Array.from(
      { length: count },
      (_, index) => `127.${block}.${subnet}.${index + 1}`,
    );
    const free = await Promise.all(addresses.map(isFree));
    if (free.every(Boolean)) {
      return addresses;
    }
  }
  throw new Error("no free loopback addresses");
}

/**
 * Creates the content of a machine's settings file.
 *
 * @param plan - The machine
 * @returns Lines of the form `name=value`
 */
export function createSettings(plan: MachinePlan): string {
  const { address, zone, zones, service, storeAddress } = plan;
  const regions = Object.fromEntries(
    Object.entries(zones).map(([name, region]) => [`zones.${name}`, region]),
  );
  const fields: Record<string, string> = {
    node: `sidecar-${address}`,
    role: "daemon",
    "machine_class": "sidecar",
    serves: "sidecar",
    ip: address,
    zone,
    region: zones[zone] ?? "",
    ...regions,
    "listen.inbound": `${address}:8300`,
    "listen.outbound": `${address}:${PORTS.callers}`,
    "listen.ready": `${address}:${PORTS.readiness}`,
    "listen.control": `${address}:${PORTS.control}`,
    "internal_ports": `${PORTS.peers},${PORTS.peers + 15}`,
    seeds: "",
    bootstrap: "true",
    "in_tolerance": "false",
    "limits.cpu_share": "0.54",
    "limits.cpu_cores": "2",
    "limits.memory_mb": "350",
    "limits.max_fds": "4100",
    "limits.link_mbps": "1000.0",
    "limits.disk_mb": "0",
    discovery: "local",
    entry: "local",
    "heartbeat_ms": "1500",
    contracts: "base,drain,config,cost,retry,recover,pressure,platform",
    "fault_tolerance.machines": "2",
    "fault_tolerance.zones": "0",
    "fault_tolerance.regions": "0",
    "bounds.seed_lag_s": "3",
    "bounds.addr_reuse_s": "2",
    "bounds.contact_ms": String(BOUNDS.contactMs),
    "bounds.ack_ms": "4000",
    "bounds.catch_up_s": "4",
    "bounds.drain_ms": String(BOUNDS.drainMs),
    "bounds.grace_s": String(BOUNDS.graceMs / 1_000),
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2500",
    "bounds.rollback_slack_ms": "250",
    "bounds.max_stretch_ms": "5000",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.retry_slack": "49",
    "bounds.recovery_s": "15",
    "app_addr": `${address}:${PORTS.instance}`,
    service,
    "platform.address": `${storeAddress}:${PORTS.store}`,
    "platform.form": "objects",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.history_s": "20",
    "platform.max_value_bytes": "1048576",
    "platform.min_ttl_ms": "1000",
    ...plan.settings,
  };
  return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`)
    .join("");
}

function createTable(
  columns: readonly string[],
  rows: readonly object[],
): { columns: readonly string[]; rows: unknown[][] } {
  return {
    columns,
    rows: rows.map((row) =>
      columns.map((column) => (row as Record<string, unknown>)[column] ?? null)
    ),
  };
}

/**
 * Creates the operator's first configuration.
 *
 * @param plan - Services, routes and tenants
 * @returns The object that the operator writes as `config/main`
 */
export function createConfiguration(plan: ConfigurationPlan): unknown {
  const { services, routes, tenants } = plan;
  return {
    version: "r7",
    routes: createTable(
      [
        ...["name", "host", "path_prefix", "kind", "timeout_ms"],
        ...["target_latency_ms", "priority", "service", "max_attempts"],
        "weighted_services",
      ],
      routes.map(({ name, pathPrefix, kind, timeoutMs, service }) => ({
        ...{ name, host: HOST, kind, service, priority: 0 },
        ...{ "path_prefix": pathPrefix, "timeout_ms": timeoutMs },
        ...{ "target_latency_ms": 1_500, "max_attempts": 2 },
      })),
    ),
    services: createTable(
      ["name", "health_path", "max_connections", "protocol", "tls"],
      services.map((name) => ({
        ...{ name, "health_path": "/health", "max_connections": 550 },
        ...{ protocol: "h1", tls: false },
      })),
    ),
    ...tenants && {
      tenants: createTable(
        ["name", "api_keys", "rate_per_s", "burst", "priority"],
        tenants.map(({ name, apiKeys, ratePerSecond, burst }) => ({
          ...{ name, "api_keys": apiKeys, burst, priority: 0 },
          ...{ "rate_per_s": ratePerSecond },
        })),
      ),
    },
    limits: {
      "max_header_bytes": 16_384,
      "max_body_bytes": 67_108_864,
      "header_timeout_ms": 3_000,
      "idle_timeout_ms": 15_000,
    },
    "base_version": "r5",
  };
}
