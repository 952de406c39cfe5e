/**
 * Prometheus metrics of one daemon.
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { AccountLabels } from "./account_labels.ts";
import { BodyMemoryMetrics } from "./body_memory_metrics.ts";
import { ConfigurationMetrics } from "./configuration_metrics.ts";
import { ProcessMetrics } from "./process_metrics.ts";
import { retainServices } from "./retain_services.ts";
import { SentBytes } from "./sent_bytes.ts";

/** Upper bounds of the latency buckets, in seconds. */
const LATENCY_BUCKETS_S = [
  0.0005,
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
];

/** The metrics that a daemon exports. */
export class DaemonMetrics {
  readonly registry = new Registry();

  /** Memory, descriptors, delays and contained faults of the process. */
  readonly process = new ProcessMetrics(this.registry);

  /** Memory used by bodies of calls. */
  readonly bodyMemory = new BodyMemoryMetrics(this.registry);

  /** Configuration versions in the store, active and refused. */
  readonly configuration = new ConfigurationMetrics(this.registry);

  /** Bytes sent to other daemons; exported by {@link sentBytes}. */
  readonly sent = new SentBytes();

  /** Bounds the client accounts that {@link callDuration} names. */
  readonly accounts = new AccountLabels((name) =>
    void this.#removeAccount(name)
  );

  /** Duration of calls at the entry, by class, client account (label `tenant`) and outcome. */
  readonly callDuration = new Histogram({
    name: "celeryhollow_call_duration_seconds",
    help: "Duration of calls at the entry",
    labelNames: ["class", "tenant", "outcome"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  /** Time that calls waited for a concurrency slot of the backend server, by class. */
  readonly queueDuration = new Histogram({
    name: "celeryhollow_queue_duration_seconds",
    help: "Time that calls waited for a slot of the backend server",
    labelNames: ["class"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  /** Refused calls and calls with unknown outcome, by class, outcome and reason. */
  readonly failures = new Counter({
    name: "celeryhollow_call_failures_total",
    help: "Calls refused or of unknown outcome",
    labelNames: ["class", "outcome", "reason"] as const,
    registers: [this.registry],
  });

  /** Attempts sent to instances, by service and whether they are retries. */
  readonly attempts = new Counter({
    name: "celeryhollow_attempts_total",
    help: "Attempts sent to instances",
    labelNames: ["service", "retry"] as const,
    registers: [this.registry],
  });

  /** Ejections and re-admissions of instances. */
  readonly outlierDecisions = new Counter({
    name: "celeryhollow_outlier_decisions_total",
    help: "Ejections and re-admissions of instances",
    labelNames: ["decision"] as const,
    registers: [this.registry],
  });

  /** Unresponsive connections next to which a replacement was opened. */
  readonly replacedConnections = new Counter({
    name: "celeryhollow_replaced_connections_total",
    help: "Silent connections that were replaced",
    registers: [this.registry],
  });

  /**
   * Bytes that may currently be sent and received across regions; negative if
   * the budget is overdrawn.
   */
  readonly linkBudget = new Gauge({
    name: "celeryhollow_link_budget_bytes",
    help: "Bytes that this daemon may send and receive across regions now",
    registers: [this.registry],
  });

  /** Duplicate calls that were joined to the call in progress. */
  readonly joinedCalls = new Counter({
    name: "celeryhollow_joined_calls_total",
    help: "Duplicate calls joined to the call in progress",
    registers: [this.registry],
  });

  /** Calls in progress on the backend server. */
  readonly inFlight = new Gauge({
    name: "celeryhollow_in_flight",
    help: "Calls running on the backend server",
    registers: [this.registry],
  });

  /** Limit that the backend server names; absent while it names none. */
  readonly serverLimit = new Gauge({
    name: "celeryhollow_server_limit_requests_per_second",
    help: "Requests per second to which the backend server limits all daemons",
    labelNames: ["instance"] as const,
    registers: [this.registry],
  });

  /** When the limit that the backend server names was last changed, in seconds since the epoch. */
  readonly serverLimitSince = new Gauge({
    name: "celeryhollow_server_limit_since_timestamp_seconds",
    help: "Time of the last change of the backend server's limit",
    labelNames: ["instance"] as const,
    registers: [this.registry],
  });

  /** Calls turned away here because the backend server limits its requests, by class. */
  readonly limitedCalls = new Counter({
    name: "celeryhollow_limited_calls_total",
    help: "Calls turned away because of the backend server's limit",
    labelNames: ["class"] as const,
    registers: [this.registry],
  });

  /** Calls that got no slot in the time that they were allowed to wait, by class and by what bounded it (`deadline` or `standing-queue`). */
  readonly unservedWaits = new Counter({
    name: "celeryhollow_unserved_waits_total",
    help: "Calls that got no slot in the time that they were allowed to wait",
    labelNames: ["class", "bound"] as const,
    registers: [this.registry],
  });

  /** Momentary slowness that the backend server states; 1 is the usual speed. */
  readonly slowness = new Gauge({
    name: "celeryhollow_slowness_ratio",
    help: "Duration of work on this VM, relative to the usual one",
    registers: [this.registry],
  });

  /** Calls handed back by this daemon because they finish sooner on another instance. */
  readonly handBacks = new Counter({
    name: "celeryhollow_hand_backs_total",
    help: "Calls handed back to be run on another instance",
    registers: [this.registry],
  });

  /** Share of the calls to a service that leave the failure domain, by service and domain that they go to. */
  readonly spillShare = new Gauge({
    name: "celeryhollow_spill_share",
    help: "Share of calls that are sent to another failure domain",
    labelNames: ["service", "domain"] as const,
    registers: [this.registry],
  });

  /** Backend servers of this VM that ended while they ran calls. */
  readonly serverCrashes = new Counter({
    name: "celeryhollow_server_crashes_total",
    help: "Backend servers of this VM that ended while they ran calls",
    registers: [this.registry],
  });

  /** Requests that are refused because they crash backend servers. */
  readonly quarantinedRequests = new Gauge({
    name: "celeryhollow_quarantined_requests",
    help: "Requests that are refused because they crash backend servers",
    registers: [this.registry],
  });

  /** Current concurrency limit of the backend server. */
  readonly limit = new Gauge({
    name: "celeryhollow_limit",
    help: "Concurrency limit in force for the backend server",
    registers: [this.registry],
  });

  /** Share of requests that this instance asks entries to admit, by class rank. */
  readonly admitRatio = new Gauge({
    name: "celeryhollow_admit_ratio",
    help: "Share of requests that this instance asks entries to admit",
    labelNames: ["rank"] as const,
    registers: [this.registry],
  });

  /** Requests refused at this entry, by class and the service that is overloaded. */
  readonly entryRefusals = new Counter({
    name: "celeryhollow_entry_refusals_total",
    help: "Requests refused at the entry before any work was done",
    labelNames: ["class", "service"] as const,
    registers: [this.registry],
  });

  /** Runs at this VM's backend server that failed because a call of theirs failed, by class, own service and the service that the call went to. */
  readonly unfinishedRuns = new Counter({
    name: "celeryhollow_unfinished_runs_total",
    help: "Runs that served nobody because a call that they made failed",
    labelNames: ["class", "service", "failed_service"] as const,
    registers: [this.registry],
  });

  /** Refusals of a client account because of its use of what the accounts of a class share, by class and stage (`entry` or `queue`). */
  readonly accountRefusals = new Counter({
    name: "celeryhollow_account_refusals_total",
    help: "Refusals of accounts that asked for more than their fair share",
    labelNames: ["class", "stage"] as const,
    registers: [this.registry],
  });

  /** Remembered idempotency keys, by the role in which this daemon remembers them. */
  readonly keysRemembered = new Gauge({
    name: "celeryhollow_keys_remembered",
    help: "Used idempotency keys that are remembered",
    labelNames: ["role"] as const,
    registers: [this.registry],
  });

  /** Bytes sent to other daemons, by purpose and by region and failure domain of the receiver. */
  readonly sentBytes = new Gauge({
    name: "celeryhollow_sent_bytes",
    help: "Bytes sent to other daemons since the start",
    labelNames: ["purpose", "region", "domain"] as const,
    registers: [this.registry],
  });

  /** Eras of the store seen, and values ignored as invalid or outdated, by event. */
  readonly storeEras = new Counter({
    name: "celeryhollow_store_eras_total",
    help: "Eras of the store seen, and distinct values ignored",
    labelNames: ["event"] as const,
    registers: [this.registry],
  });

  /** Duration of the calls to the store, by call and by outcome: `answered`, or why the call failed. */
  readonly storeCallDuration = new Histogram({
    name: "celeryhollow_store_call_duration_seconds",
    help: "Duration of the calls to the store",
    labelNames: ["call", "outcome"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  /** Start of the store call in progress; 0 between calls. Its age shows a connection that no longer delivers. */
  readonly storeWatchStart = new Gauge({
    name: "celeryhollow_store_watch_start_timestamp_seconds",
    help: "Start of the configuration watch in progress, 0 if there is none",
    registers: [this.registry],
  });

  /** Store revision of the latest configuration that this daemon read from the store itself. */
  readonly storeRevision = new Gauge({
    name: "celeryhollow_store_revision",
    help: "Store revision up to which this daemon read the configuration",
    registers: [this.registry],
  });

  /** Configuration version that this daemon read from the store itself and could use; `configuration` exports those that it refused too. */
  readonly storeVersion = new Gauge({
    name: "celeryhollow_store_configuration_version",
    help: "Latest configuration version that this daemon read from the store",
    registers: [this.registry],
  });

  /** Members that this daemon knows, by state. */
  readonly members = new Gauge({
    name: "celeryhollow_members",
    help: "Members that this daemon knows",
    labelNames: ["state"] as const,
    registers: [this.registry],
  });

  /** Members that ended without saying that they leave, by whether they had this daemon's address (`predecessor`) or not (`other`). */
  readonly vanishedMembers = new Counter({
    name: "celeryhollow_vanished_members_total",
    help: "Members that ended without saying that they leave",
    labelNames: ["role"] as const,
    registers: [this.registry],
  });

  /** Bytes of membership messages since the start, by direction. */
  readonly membershipBytes = new Gauge({
    name: "celeryhollow_membership_bytes",
    help: "Bytes of membership messages since the start, with headers",
    labelNames: ["direction"] as const,
    registers: [this.registry],
  });

  /** Bounds the services that counters name; called with those of each new configuration. */
  async retainServices(services: ReadonlySet<string>): Promise<void> {
    await retainServices(
      [this.attempts, this.entryRefusals, this.unfinishedRuns],
      services,
    );
  }

  /** Removes the values of an account that is no longer among the busiest. */
  async #removeAccount(name: string): Promise<void> {
    const { values } = await this.callDuration.get();
    const series = new Map(
      values.filter(({ labels }) => labels.tenant === name).map((
        { labels: { class: className = "", outcome = "" } },
      ) => [`${className} ${outcome}`, { class: className, outcome }]),
    );
    for (const labels of series.values()) {
      this.callDuration.remove({ ...labels, tenant: name });
    }
  }

  /** Removes the limit of a backend server that names none or is gone. */
  clearServerLimit(): void {
    this.serverLimit.reset();
    this.serverLimitSince.reset();
  }

  /** Records a change of the limit that the backend server names. */
  recordServerLimit(
    instance: string,
    requestsPerSecond: number | undefined,
  ): void {
    this.clearServerLimit();
    if (requestsPerSecond !== undefined) {
      this.serverLimit.set({ instance }, requestsPerSecond);
      this.serverLimitSince.setToCurrentTime({ instance });
    }
  }
}
