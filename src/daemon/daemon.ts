/**
 * One daemon: its parts, its listeners, its start and its graceful stop.
 */

import { BACKEND_STATES } from "../backend/mod.ts";
import { createBackendApp } from "../backend/create_backend_app.ts";
import { createCallerApp } from "../caller/mod.ts";
import { createConfigurationTransfer } from "../configuration/mod.ts";
import type { ConfigurationDistributor } from "../configuration/mod.ts";
import type { DaemonSettings } from "../generated/types.ts";
import type { GossipMembership } from "../membership/mod.ts";
import { PeerServer } from "../peer/mod.ts";
import { handOverKeys, servePeerCall } from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import type { HttpObjectStore } from "../store/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { createAdminApp } from "./create_admin_app.ts";
import { createDaemonParts } from "./create_daemon_parts.ts";
import type { DaemonOverrides } from "./create_daemon_parts.ts";
import type { OutboundParts } from "./create_outbound_parts.ts";
import { HonoListener } from "./listener.ts";
import type { Listener, ListenerContext } from "./listener.ts";

/** Interval at which the daemon tidies up, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Interval at which a stopping daemon checks for requests in progress, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** Part of the time for a stop that is kept for requests in progress, during which no new ones are taken. */
const FINISHING_RATIO = 0.5;

/** Longest such part, in milliseconds; what nearly all requests need. */
const MAX_FINISHING_MS = 1_500;

/** Quiet after which a stopping daemon closes its connections, and longest wait for it, in milliseconds. */
const QUIET_MS = 250;
const QUIET_TIMEOUT_MS = 2_000;

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
  readonly #configurationSpread: ConfigurationDistributor;
  readonly #peerServer: PeerServer;
  readonly #outbound: OutboundParts;
  readonly #stopSignal = new AbortController();
  readonly #listeners: readonly Listener[];
  readonly #issuesKeys: boolean;
  #stopHousekeeping: () => void = () => undefined;
  #stopping: Promise<void> | undefined;
  #requestsInProgress = 0;

  constructor(settings: DaemonSettings, overrides: DaemonOverrides = {}) {
    const parts = createDaemonParts(settings, overrides);
    const { configuration, log } = parts.environment;
    this.environment = parts.environment;
    this.#store = parts.store;
    this.#membership = parts.membership;
    this.#configurationSpread = parts.configurationSpread;
    this.#outbound = parts.outbound;
    this.#issuesKeys = overrides.issuesKeys ?? true;
    const context = this.#createListenerContext();
    this.#listeners = overrides.createListeners?.(context) ??
      createOwnListeners(context);
    this.#peerServer = new PeerServer({
      ...parts.linkOptions,
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
    for (const listener of this.#listeners) {
      await listener.start();
    }
    this.#membership.onPeerConfigurationVersion((notice) =>
      this.#configurationSpread.handleVersionNotice(notice)
    );
    await this.#membership.start();
    void this.#configurationSpread.run(this.#stopSignal.signal);
    environment.configuration.subscribe(() => this.#checkFailureDomain());
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
    const sendLateOutcomes = this.#issuesKeys
      ? await handOverKeys(this.environment)
      : () => Promise.resolve();
    await clock.sleep(settings.leaveNoticeMs);
    const deadlineMs = clock.monotonicMs() + settings.drainTimeoutMs;
    const finishingMs = Math.min(
      MAX_FINISHING_MS,
      settings.drainTimeoutMs * FINISHING_RATIO,
    );
    await this.#waitForQuiet(0, deadlineMs - finishingMs);
    await sendLateOutcomes();
    this.#listeners.forEach((listener) => listener.close());
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

  #createListenerContext(): ListenerContext {
    return {
      environment: this.environment,
      isReady: () => this.isReady,
      isStopping: () => this.#stopping !== undefined,
      track: (run) => this.#track(run),
      stop: () => this.stop(),
    };
  }

  async #track<T>(run: () => Promise<T>): Promise<T> {
    this.#requestsInProgress += 1;
    try {
      return await run();
    } finally {
      this.#requestsInProgress -= 1;
    }
  }

  /** Members of a failure domain that the configuration does not name find no others. */
  #checkFailureDomain(): void {
    const { configuration, log, settings } = this.environment;
    const { failureDomain } = settings;
    if (!configuration.current?.regionByFailureDomain.has(failureDomain)) {
      const { version } = configuration;
      log.warn({ failureDomain, version }, "failure-domain-not-configured");
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
    inboundAdmission.setCapacity(slots);
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
    successors.update(members);
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

function createOwnListeners(context: ListenerContext): Listener[] {
  const { environment, isReady, stop } = context;
  const { address, callerPort, backendPort, adminPort } = environment.settings;
  return [
    { app: createCallerApp(environment), port: callerPort },
    { app: createBackendApp(environment), port: backendPort },
    { app: createAdminApp(environment, { isReady, stop }), port: adminPort },
  ].map(({ app, port }) => new HonoListener(context, { app, address, port }));
}
