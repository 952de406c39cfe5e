/**
 * One daemon: its parts, its listeners, its start and its graceful stop.
 */

import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import {
  BACKEND_STATES,
  BackendClient,
  BackendRegistry,
} from "../backend/mod.ts";
import { createBackendApp } from "../backend/create_backend_app.ts";
import { createCallerApp } from "../caller/mod.ts";
import {
  ConfigurationHolder,
  ConfigurationReader,
  ConfigurationSpread,
  createConfigurationTransfer,
} from "../configuration/mod.ts";
import type { DaemonSettings, MemberRecord } from "../generated/types.ts";
import {
  KeyLedger,
  KeyPlacement,
  RunLedger,
  SuccessorTable,
} from "../idempotency/mod.ts";
import {
  createIncarnation,
  GossipMembership,
  UdpTransport,
} from "../membership/mod.ts";
import { PeerServer } from "../peer/mod.ts";
import type { DialPeer } from "../peer/mod.ts";
import {
  ActiveCalls,
  handOverKeys,
  PeerClients,
  servePeerCall,
} from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { BudgetedObjectStore, HttpObjectStore } from "../store/mod.ts";
import {
  createLogger,
  DaemonMetrics,
  DecisionJournal,
  DECISIONS,
} from "../telemetry/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";
import { createAdminApp } from "./create_admin_app.ts";
import { createAdmission } from "./create_admission.ts";
import { createOutboundParts } from "./create_outbound_parts.ts";
import type { OutboundParts } from "./create_outbound_parts.ts";
import { DaemonConfigurationPeers } from "./daemon_configuration_peers.ts";

/** Interval at which the daemon tidies up, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Time for which a leaving daemon still accepts calls, so that peers learn of it, in milliseconds. */
const LEAVE_NOTICE_MS = 1_000;

/** Interval at which a stopping daemon checks for requests in progress, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** Quiet after which a stopping daemon closes its connections, and longest wait for it, in milliseconds. */
const QUIET_MS = 250;
const QUIET_TIMEOUT_MS = 2_000;

/** Calls to the object API that one daemon may make at once. */
const STORE_BURST_CALLS = 10;

/** Calls to the object API that one daemon may make in the long run. */
const STORE_CALLS_PER_SECOND = 1;

/** Parts of a daemon that tests replace. */
export interface DaemonParts {
  /** Opens sockets to other daemons. */
  readonly dial?: DialPeer;
  /** Routing alone may be that of the baseline. */
  readonly routing?: "adaptive" | "random";
}

/** A running daemon. */
export class Daemon {
  readonly environment: CallEnvironment;
  #settleStopped: () => void = () => undefined;
  /** Resolves when the daemon has stopped, whoever asked it to. */
  readonly stopped = new Promise<void>((resolve) => {
    this.#settleStopped = resolve;
  });
  readonly #store: HttpObjectStore;
  readonly #membership: GossipMembership;
  readonly #configurationSpread: ConfigurationSpread;
  readonly #peerServer: PeerServer;
  readonly #outbound: OutboundParts;
  readonly #stopSignal = new AbortController();
  #servers: ServerType[] = [];
  #stopHousekeeping: () => void = () => undefined;
  #stopping: Promise<void> | undefined;
  #requestsInProgress = 0;

  constructor(settings: DaemonSettings, parts: DaemonParts = {}) {
    const clock = new SystemClock();
    const random = new RandomSource(settings.randomSeed);
    const self = createOwnRecord(settings, clock.nowMs());
    const { incarnation } = self;
    const log = createLogger(settings.logLevel, {
      program: "celeryhollowd",
      incarnation,
    });
    const configuration = new ConfigurationHolder();
    const identity = {
      incarnation,
      failureDomain: settings.failureDomain,
      fleetToken: settings.fleetToken,
    };
    const linkOptions = {
      identity,
      clock,
      maxBodyBytes: settings.maxBodyBytes,
      ...parts.dial === undefined ? {} : { dial: parts.dial },
    };
    const journal = new DecisionJournal(clock);
    const metrics = new DaemonMetrics();
    const seeds = settings.seeds.split(",").filter((seed) => seed !== "");
    const isProtected = settings.protection === "on";
    const { fleetToken } = settings;
    this.#store = new HttpObjectStore(settings.storeUrl);
    const store = new BudgetedObjectStore({
      store: this.#store,
      clock,
      burstCalls: STORE_BURST_CALLS,
      callsPerSecond: STORE_CALLS_PER_SECOND,
    });
    this.#membership = new GossipMembership({
      self,
      fleetToken,
      seeds,
      store,
      clock,
      random,
      log,
      configuration,
      journal,
      transport: new UdpTransport({
        address: settings.address,
        port: settings.peerPort,
        reportError: (error) =>
          log.warn({ error: error.message }, "gossip-socket-error"),
      }),
    });
    this.#configurationSpread = new ConfigurationSpread({
      reader: new ConfigurationReader(store),
      holder: configuration,
      peers: new DaemonConfigurationPeers(this.#membership, linkOptions),
      clock,
      random,
      log,
      journal,
    });
    const outbound = createOutboundParts({
      ...{ settings, self, clock, random, journal, metrics, configuration },
      routing: parts.routing ?? "adaptive",
    });
    this.#outbound = outbound;
    this.environment = {
      settings,
      clock,
      log,
      metrics,
      journal,
      configuration,
      membership: this.#membership,
      peers: new PeerClients({
        ...linkOptions,
        reportReplacement: outbound.reportReplacement,
      }),
      backend: new BackendRegistry(clock),
      backendClient: new BackendClient(settings.address),
      ...createAdmission(isProtected, {
        clock,
        journal,
        metrics,
        configuration,
        incarnation,
      }),
      chooser: outbound.chooser,
      retryPolicy: outbound.retryPolicy,
      joiner: outbound.joiner,
      keys: new KeyLedger({ incarnation, fleetToken, clock }),
      keyPlacement: new KeyPlacement(),
      successors: new SuccessorTable(clock),
      runs: new RunLedger(clock),
      activeCalls: new ActiveCalls(clock),
    };
    this.#peerServer = new PeerServer({
      ...linkOptions,
      handleCall: (call, body, signal) =>
        this.#track(() =>
          servePeerCall(this.environment, call, { body, signal })
        ),
      provideConfiguration: (knownVersion) =>
        createConfigurationTransfer(configuration, knownVersion),
      reportError: (error, remoteAddress) =>
        log.warn(
          { error: error.message, name: error.name, remoteAddress },
          "peer-connection-error",
        ),
    });
  }

  /** Whether the daemon can serve callers. */
  get isReady(): boolean {
    return this.#configurationSpread.isConfirmed && !this.#stopping;
  }

  /** Starts the listeners and joins the fleet. */
  async start(): Promise<void> {
    const { environment } = this;
    const { settings, clock, log } = environment;
    await this.#peerServer.listen(settings.address, settings.peerPort);
    await this.#listen(createCallerApp(environment), settings.callerPort);
    await this.#listen(createBackendApp(environment), settings.backendPort);
    const isReady = () => this.isReady;
    await this.#listen(
      createAdminApp(environment, { isReady, stop: () => this.stop() }),
      settings.adminPort,
    );
    this.#membership.onPeerConfigurationVersion((notice) =>
      this.#configurationSpread.takeNotice(notice)
    );
    await this.#membership.start();
    void this.#configurationSpread.run(this.#stopSignal.signal);
    environment.backend.subscribe(() => this.#publishBackend());
    this.#stopHousekeeping = clock.scheduleEvery(
      HOUSEKEEPING_INTERVAL_MS,
      () => this.#keepHouse(),
    );
    log.info(
      { address: settings.address, callerPort: settings.callerPort },
      "daemon-started",
    );
  }

  /** Stops gracefully: takes no new work, finishes what is in progress, leaves the fleet. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop().then(this.#settleStopped);
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const { backend, clock, journal, log, peers, settings } = this.environment;
    journal.record(DECISIONS.leaving, {
      requestsInProgress: this.#requestsInProgress,
    });
    log.info(
      { requestsInProgress: this.#requestsInProgress },
      "daemon-stopping",
    );
    this.#membership.updateSelf({ state: "leaving" });
    backend.drain();
    const sendLateOutcomes = await handOverKeys(this.environment);
    await clock.sleep(LEAVE_NOTICE_MS);
    const deadlineMs = clock.monotonicMs() + settings.drainTimeoutMs;
    await this.#waitForQuiet(0, deadlineMs);
    await sendLateOutcomes();
    this.#servers.forEach((server) => server.close());
    await this.#waitForQuiet(
      QUIET_MS,
      Math.min(deadlineMs, clock.monotonicMs() + QUIET_TIMEOUT_MS),
    );
    this.#stopHousekeeping();
    this.#stopSignal.abort();
    await this.#membership.stop();
    await this.#peerServer.close();
    peers.close();
    await this.#store.close();
    log.info({}, "daemon-stopped");
  }

  /** Waits until no request has been in progress for some time. */
  async #waitForQuiet(quietMs: number, deadlineMs: number): Promise<void> {
    const { clock } = this.environment;
    let busyAtMs = clock.monotonicMs();
    while (clock.monotonicMs() < deadlineMs) {
      if (this.#requestsInProgress > 0) {
        busyAtMs = clock.monotonicMs();
      } else if (clock.monotonicMs() - busyAtMs >= quietMs) {
        return;
      }
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  #listen(app: Hono, port: number): Promise<void> {
    const fetch = (request: Request) =>
      this.#track(async () => this.#endConnection(await app.fetch(request)));
    return new Promise((resolve, reject) => {
      const server = serve({
        fetch,
        hostname: this.environment.settings.address,
        port,
      }, () => resolve());
      server.once("error", reject);
      this.#servers.push(server);
    });
  }

  /** Lets a caller's connection end after this response while the daemon stops. */
  #endConnection(response: Response): Response {
    if (this.#stopping) {
      response.headers.set("connection", "close");
    }
    return response;
  }

  async #track<T>(run: () => Promise<T>): Promise<T> {
    this.#requestsInProgress += 1;
    try {
      return await run();
    } finally {
      this.#requestsInProgress -= 1;
    }
  }

  #publishBackend(): void {
    const { backend, inboundAdmission } = this.environment;
    const { announcement, state, warmAtMs } = backend;
    const service = state === BACKEND_STATES.absent
      ? ""
      : announcement?.service ?? "";
    const slots = announcement?.slots ?? 0;
    const own = this.#membership.self;
    const memberState = state === BACKEND_STATES.leaving || this.#stopping
      ? "leaving"
      : "alive";
    inboundAdmission.setCapacity(slots, warmAtMs);
    if (
      own.service !== service || own.slots !== slots ||
      own.warmAtMs !== warmAtMs || own.state !== memberState
    ) {
      this.#membership.updateSelf({
        service,
        slots,
        warmAtMs,
        state: memberState,
      });
    }
  }

  #keepHouse(): void {
    const { membership, peers, successors } = this.environment;
    this.#publishBackend();
    const members = membership.listAll();
    successors.learn(members);
    this.#outbound.maintain(members);
    peers.retain(
      new Set(
        members.filter(({ state }) => state !== "dead").map((
          record,
        ) => record.incarnation),
      ),
    );
  }
}

function createOwnRecord(
  settings: DaemonSettings,
  startedAtMs: number,
): MemberRecord {
  const { address, peerPort, region, failureDomain } = settings;
  return {
    incarnation: createIncarnation({ address, peerPort, startedAtMs }),
    address,
    peerPort,
    region,
    failureDomain,
    startedAtMs,
    version: 1,
    state: "alive",
    service: "",
    slots: 0,
    inFlight: 0,
    warmAtMs: 0,
    successor: "",
  };
}
