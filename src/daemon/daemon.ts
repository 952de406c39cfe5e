/**
 * Lifecycle of one daemon: start, periodic maintenance and graceful stop of its
 * components and listeners.
 */

import { err } from "neverthrow";
import { createConfigurationTransfer } from "../configuration/mod.ts";
import type { ConfigurationDistributor } from "../configuration/mod.ts";
import type { DepartureArchive } from "../backend/mod.ts";
import { reportLoopDelay } from "../event_loop/mod.ts";
import type { CallMessage, DaemonSettings } from "../generated/types.ts";
import type { GossipMembership } from "../membership/mod.ts";
import { NESTED_RANK, rankClass } from "../intake/mod.ts";
import { createStopSchedule } from "../leaving/mod.ts";
import { PeerServer } from "../peer/mod.ts";
import type { ArrivedCall, IncomingCallOptions } from "../peer/mod.ts";
import { createUnknownOutcome, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { servePeerCall } from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import type { QuarantineArchive } from "../quarantine/mod.ts";
import type { HttpObjectStore } from "../store/mod.ts";
import { DECISIONS, FaultReporter, MemoryWatch } from "../telemetry/mod.ts";
import { BackendFollower } from "./backend_follower.ts";
import { bindEndpoint } from "./bind_endpoint.ts";
import { createDaemonComponents } from "./create_daemon_components.ts";
import type { DaemonOverrides } from "./create_daemon_components.ts";
import type { OutboundComponents } from "./create_outbound_components.ts";
import { createDefaultListeners } from "./create_default_listeners.ts";
import { drainRequests } from "./drain_requests.ts";
import type { Listener, ListenerContext, NotReadyCause } from "./listener.ts";
import { RequestTracker } from "./request_tracker.ts";

/** Interval of the periodic maintenance, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Longest time for which the confirmation of a departure waits for the store, in milliseconds; servers take one that arrives within a second. */
const MAX_DEPARTURE_WAIT_MS = 700;

/** One daemon of the fleet. */
export class Daemon {
  readonly environment: CallEnvironment;
  /** Reports faults that do not end the process. */
  readonly faults: FaultReporter;
  #resolveStopped: () => void = () => undefined;
  /** Resolves when the daemon has stopped, regardless of what triggered the stop. */
  readonly stopped = new Promise<void>((resolve) => {
    this.#resolveStopped = resolve;
  });
  readonly #store: HttpObjectStore;
  readonly #quarantineArchive: QuarantineArchive;
  readonly #departureArchive: DepartureArchive;
  readonly #membership: GossipMembership;
  readonly #configurationDistributor: ConfigurationDistributor;
  readonly #peerServer: PeerServer;
  readonly #outbound: OutboundComponents;
  readonly #stopSignal = new AbortController();
  readonly #listeners: readonly Listener[];
  readonly #issuesKeys: boolean;
  readonly #memoryWatch: MemoryWatch;
  readonly #requests: RequestTracker;
  readonly #backendFollower: BackendFollower;
  #stopHousekeeping: () => void = () => undefined;
  #stopping: Promise<void> | undefined;

  constructor(settings: DaemonSettings, overrides: DaemonOverrides = {}) {
    const components = createDaemonComponents(settings, overrides);
    const { configuration, log } = components.environment;
    this.environment = components.environment;
    this.#requests = new RequestTracker(components.environment.clock);
    this.#backendFollower = new BackendFollower({
      environment: components.environment,
      membership: components.membership,
      isStopping: () => this.#stopping !== undefined,
    });
    this.faults = new FaultReporter(components.environment);
    this.#store = components.store;
    this.#quarantineArchive = components.quarantineArchive;
    this.#departureArchive = components.departureArchive;
    this.#membership = components.membership;
    this.#configurationDistributor = components.configurationDistributor;
    this.#outbound = components.outbound;
    this.#issuesKeys = overrides.issuesKeys ?? true;
    this.#memoryWatch = new MemoryWatch({
      ...components.environment,
      limitBytes: overrides.memoryLimitBytes ?? Number.POSITIVE_INFINITY,
      describe: () => ({
        requestsInProgress: this.#requests.count,
        heldBytes: components.environment.memory.heldBytes,
        waitingBytes: components.environment.memory.waitingBytes,
      }),
    });
    const context = this.#createListenerContext();
    this.#listeners = overrides.createListeners?.(context) ??
      createDefaultListeners(context);
    this.#peerServer = new PeerServer({
      ...components.connectionOptions,
      handleCall: (call, options) => this.#servePeer(call, options),
      admitCall: (call, arrived) => this.#admitCall(call, arrived),
      track: (serve) => this.#requests.track(serve),
      provideConfiguration: (knownVersion) =>
        createConfigurationTransfer(configuration, knownVersion),
      reportError: (error, remoteAddress) =>
        log.warn(
          { error: error.message, name: error.name, remoteAddress },
          "peer-connection-error",
        ),
      reportListenerError: (error) => this.faults.report("listener", error),
    });
  }

  /** Whether the daemon can serve callers. */
  get isReady(): boolean {
    return this.explainNotReady() === undefined;
  }

  /** Explains why the daemon cannot serve callers; undefined if it can. */
  explainNotReady(): NotReadyCause | undefined {
    const { configurationProgress } = this.environment;
    if (this.#stopping) {
      return { reason: "stopping", version: 0 };
    }
    return this.#configurationDistributor.isConfirmed
      ? undefined
      : configurationProgress.explainMissing();
  }

  /**
   * Starts the listeners and joins the fleet. Waits for addresses that are not
   * free yet, except those of optional listeners. Rejects if an address cannot
   * be bound. Returns early if the daemon is stopped meanwhile.
   */
  async start(): Promise<void> {
    const { environment } = this;
    const { settings, clock, log } = environment;
    const { address, peerPort } = settings;
    const isCancelled = () => this.#stopping !== undefined;
    environment.eventLoop.start((delay) => reportLoopDelay(environment, delay));
    void this.#departureArchive.load();
    const endpoints = [{
      address: `${address}:${peerPort}`,
      isOptional: false,
      start: () => this.#peerServer.listen(address, peerPort),
    }, ...this.#listeners];
    for (const endpoint of endpoints) {
      const bound = bindEndpoint(endpoint, { clock, log, isCancelled });
      if (!endpoint.isOptional) {
        await bound;
      }
    }
    if (this.#stopping) {
      return;
    }
    this.#membership.onPeerConfigurationVersion((notice) =>
      this.#configurationDistributor.handleVersionNotice(notice)
    );
    this.#membership.onNotice((notice) =>
      notice.kind === "refused-version"
        ? this.#configurationDistributor.handleRefusalNotice(notice)
        : environment.quarantine.receive(notice)
    );
    this.#membership.onDeparture((serverId) =>
      this.#backendFollower.followDeparture(serverId)
    );
    await this.#membership.start();
    if (this.#stopping) {
      return;
    }
    void this.#configurationDistributor.run(this.#stopSignal.signal);
    void this.#quarantineArchive.load();
    environment.configuration.subscribe(({ document }) => {
      this.#checkFailureDomain();
      const services = document.services.map(({ name }) => name);
      void environment.metrics.retainServices(new Set(services));
    });
    environment.backend.subscribe(() => this.#backendFollower.publish());
    this.#stopHousekeeping = clock.scheduleEvery(
      HOUSEKEEPING_INTERVAL_MS,
      () => this.#runHousekeeping(),
    );
    log.info(
      { address: settings.address, callerPort: settings.callerPort },
      "daemon-started",
    );
  }

  /** Calls of the daemons themselves and queries of outcomes begin at once, as others wait for them. */
  #admitCall(call: CallMessage, arrived: ArrivedCall): void {
    const { configuration, intake, peerServices } = this.environment;
    if (
      call.purpose !== "run" || peerServices.find(call.service) ||
      intake.tryBegin()
    ) {
      arrived.begin();
      return;
    }
    const { className, depth, remainingMs } = call.context;
    const classRanks = configuration.current?.classRanks;
    intake.submit({
      ...{ begin: arrived.begin, refuse: arrived.refuse, drop: arrived.drop },
      timeLimitMs: remainingMs,
      findRank: () =>
        depth > 0
          ? NESTED_RANK
          : rankClass(classRanks?.get(className) ?? classRanks?.size ?? 0),
      isAbandoned: arrived.isCancelled,
    });
  }

  #servePeer(
    call: CallMessage,
    options: IncomingCallOptions,
  ): Promise<CallResult> {
    this.environment.eventLoop.work.callsRead += 1;
    return this.environment.stop.guard(
      this.#containFault(() => servePeerCall(this.environment, call, options)),
      () => createUnknownOutcome(REASONS.daemonStopping),
    );
  }

  /** Turns an exception while serving a peer's call into an outcome of this call. */
  async #containFault(serve: () => Promise<CallResult>): Promise<CallResult> {
    try {
      return await serve();
    } catch (cause) {
      this.faults.report("request", cause);
      return err(createUnknownOutcome(REASONS.backendFailed));
    }
  }

  /**
   * Stops gracefully: announces that the daemon is leaving, finishes the
   * requests in progress and leaves the fleet. Requests that still arrive are
   * served if they are expected to end in time, and refused otherwise. Repeated
   * calls return the same promise.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop().then(this.#resolveStopped);
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const { clock, eventLoop, journal, log, settings, stop } = this.environment;
    // The grace began when the signal was sent, not when it is read.
    const { lateReadMs } = eventLoop;
    const toldAtMs = clock.monotonicMs() - lateReadMs;
    const schedule = createStopSchedule(toldAtMs, settings);
    const requestsInProgress = this.#requests.count;
    journal.record(DECISIONS.leaving, { requestsInProgress });
    log.info(
      { requestsInProgress, lateMs: Math.round(lateReadMs) },
      "daemon-stopping",
    );
    this.#membership.updateSelf({ state: "leaving" });
    await drainRequests({
      ...{ environment: this.environment, requests: this.#requests },
      ...{ listeners: this.#listeners, issuesKeys: this.#issuesKeys },
    }, schedule);
    const { flushEndsAtMs } = schedule;
    const callersLeft = this.#listeners.map((listener) =>
      listener.closeConnections(flushEndsAtMs)
    );
    this.#stopHousekeeping();
    this.environment.eventLoop.stop();
    this.#stopSignal.abort();
    this.#quarantineArchive.stop();
    this.#departureArchive.stop();
    this.environment.allowances.stop();
    await Promise.all([
      ...callersLeft,
      this.#closeConnections(flushEndsAtMs),
    ]);
    const unfinished = this.#requests.count;
    const facts = { requestsInProgress, ...stop.counts, unfinished };
    log.info(facts, "daemon-stopped");
  }

  /** Leaves the fleet and closes the connections to peers and the store, or gives up at the deadline. */
  async #closeConnections(deadlineMs: number): Promise<void> {
    const { clock, peers } = this.environment;
    let cancelTimeout: () => void = () => undefined;
    const timeout = new Promise<void>((resolve) => {
      const delayMs = Math.max(0, deadlineMs - clock.monotonicMs());
      cancelTimeout = clock.schedule(delayMs, resolve);
    });
    const close = async () => {
      await this.#membership.stop();
      await this.#peerServer.close(deadlineMs - clock.monotonicMs());
      peers.close();
      await this.#store.close();
    };
    await Promise.race([close(), timeout]);
    cancelTimeout();
  }

  #createListenerContext(): ListenerContext {
    return {
      environment: this.environment,
      faults: this.faults,
      isReady: () => this.isReady,
      explainNotReady: () => this.explainNotReady(),
      isStopping: () => this.#stopping !== undefined,
      track: (run) => this.#requests.track(run),
      storeDeparture: () =>
        this.#departureArchive.waitUntilStored(MAX_DEPARTURE_WAIT_MS),
      stop: () => this.stop(),
    };
  }

  /** Warns if the configuration does not contain this daemon's failure domain; members of such a domain find no other members. */
  #checkFailureDomain(): void {
    const { configuration, log, settings } = this.environment;
    const { failureDomain } = settings;
    if (!configuration.current?.regionByFailureDomain.has(failureDomain)) {
      const { version } = configuration;
      log.warn({ failureDomain, version }, "failure-domain-not-configured");
    }
  }

  #runHousekeeping(): void {
    const { allowances, membership, peers, quarantine, successors } =
      this.environment;
    this.#memoryWatch.check();
    quarantine.removeExpired();
    this.#backendFollower.publish();
    const members = membership.listAll();
    successors.update(members);
    this.#outbound.maintain(members);
    peers.retain(
      new Set([
        ...members.filter(({ state }) => state !== "dead").map((
          record,
        ) => record.incarnation),
        ...allowances.holders,
      ]),
    );
  }
}
