/**
 * Creation of the components of one daemon.
 */

import {
  ALLOWANCE_SERVICE,
  createAllowanceSubsystem,
  SilentMembers,
} from "../allowance/mod.ts";
import { LearnedPaths, ThrottledEntryAdmission } from "../admission/mod.ts";
import {
  BackendRegistry,
  DepartureArchive,
  HttpBackendClient,
} from "../backend/mod.ts";
import type { BackendClient } from "../backend/mod.ts";
import {
  ConfigurationDistributor,
  ConfigurationHolder,
  ConfigurationReader,
  StoredConfigurationSource,
} from "../configuration/mod.ts";
import type { ConfigurationSource } from "../configuration/mod.ts";
import { EventLoopWatch } from "../event_loop/mod.ts";
import type { DaemonSettings, MemberRecord } from "../generated/types.ts";
import {
  KeyLedger,
  KeyPlacement,
  RunLedger,
  SuccessorTable,
} from "../idempotency/mod.ts";
import { RequestIntake } from "../intake/mod.ts";
import { StopControl } from "../leaving/mod.ts";
import { bindWhenFree } from "../listening/mod.ts";
import {
  createIncarnation,
  GossipMembership,
  UdpTransport,
} from "../membership/mod.ts";
import { computeBodyBudgetBytes, MemoryBudget } from "../memory/mod.ts";
import {
  CrashRecorder,
  Fingerprinter,
  Quarantine,
  QuarantineArchive,
} from "../quarantine/mod.ts";
import { HeartbeatTimer, PeerServices } from "../peer/mod.ts";
import type { DialPeer, PeerConnectionOptions } from "../peer/mod.ts";
import {
  ActiveCalls,
  FirstResponses,
  LeavingServers,
  PeerClients,
  ResponseSizes,
} from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { SpillReceipts, TrafficSplitter } from "../routing/mod.ts";
import {
  createCallLimits,
  createStoreTiming,
  DEFAULT_CONTACT_MS,
  EraTracker,
  HttpObjectStore,
  RateLimitedObjectStore,
} from "../store/mod.ts";
import type { EraEvent, ObjectStore, StoreDialect } from "../store/mod.ts";
import {
  createLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../telemetry/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";
import type { Clock } from "../time/mod.ts";
import { createAdmission } from "./create_admission.ts";
import { createOutboundComponents } from "./create_outbound_components.ts";
import type { OutboundComponents } from "./create_outbound_components.ts";
import type { Listener, ListenerContext } from "./listener.ts";
import { reportMemberLoss } from "./report_member_loss.ts";
import { DaemonConfigurationPeers } from "./daemon_configuration_peers.ts";

/** Memory limit of a process that is told none, in bytes. */
const DEFAULT_MEMORY_LIMIT_BYTES = 536_870_912;

/** Components and options of a daemon that tests and deployments replace. */
export interface DaemonOverrides {
  /** Dialect of the object API. */
  readonly storeDialect?: StoreDialect;
  /** Creates the source of accepted configurations. */
  readonly createConfigurationSource?: (
    store: ObjectStore,
  ) => ConfigurationSource;
  /** Number of daemons in each failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
  /** Time within which a daemon must have noticed that a connection to the object API no longer delivers, in milliseconds. */
  readonly contactMs?: number;
  /** Memory past which the system kills the process, in bytes; not known if not given. */
  readonly memoryLimitBytes?: number;
  /** Whether an adaptive throttle admits requests at the entry, by the outcomes of earlier requests instead of the load that services report. */
  readonly throttlesByOutcome?: boolean;
  /** Creates the client for the backend server on this VM. */
  readonly createBackendClient?: (clock: Clock) => BackendClient;
  /** Age after which an announcement expires unless it is renewed, in milliseconds. */
  readonly announcementTimeoutMs?: number;
  /** Whether callers are issued idempotency keys, which have to be handed over at a stop; true by default. */
  readonly issuesKeys?: boolean;
  /** Creates the listeners that replace the default interfaces. */
  readonly createListeners?: (context: ListenerContext) => readonly Listener[];
  /** Connects to other daemons. */
  readonly dial?: DialPeer;
  /** Routing policy; `random` is that of the baseline and can be combined with protection in other components. */
  readonly routing?: "adaptive" | "random";
}

/** The components of a daemon. */
export interface DaemonComponents {
  readonly environment: CallEnvironment;
  readonly quarantineArchive: QuarantineArchive;
  readonly departureArchive: DepartureArchive;
  readonly store: HttpObjectStore;
  readonly membership: GossipMembership;
  readonly configurationDistributor: ConfigurationDistributor;
  readonly outbound: OutboundComponents;
  readonly connectionOptions: PeerConnectionOptions;
}

/**
 * Creates the components of a daemon, which do not listen or send yet.
 *
 * @param settings - Settings of the daemon
 * @param overrides - Replacements of components
 * @returns The components
 *
 * @example
 * const { environment, membership } = createDaemonComponents(settings, {});
 */
export function createDaemonComponents(
  settings: DaemonSettings,
  overrides: DaemonOverrides,
): DaemonComponents {
  const clock = new SystemClock();
  const random = new RandomSource(settings.randomSeed);
  const self = createSelfRecord(settings, clock.nowMs());
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
  const metrics = new DaemonMetrics();
  const eventLoop = new EventLoopWatch({ clock });
  metrics.process.observeEventLoop({
    takeMaxDelayMs: () => eventLoop.takeMaxDelayMs(),
    readUtilization: () => eventLoop.load.utilization,
  });
  const { memoryLimitBytes = Number.POSITIVE_INFINITY } = overrides;
  const memory = new MemoryBudget({
    clock,
    capacityBytes: computeBodyBudgetBytes(
      Number.isFinite(memoryLimitBytes)
        ? memoryLimitBytes
        : DEFAULT_MEMORY_LIMIT_BYTES,
    ),
  });
  metrics.bodyMemory.observe(memory);
  const connectionOptions = {
    sentBytes: metrics.sent,
    identity,
    clock,
    heartbeatTimer: new HeartbeatTimer(clock),
    memory,
    ...overrides.dial === undefined ? {} : { dial: overrides.dial },
  };
  const journal = new DecisionJournal(clock, log);
  const seeds = settings.seeds.split(",").filter((seed) => seed !== "");
  const isProtected = settings.protection === "on";
  const { fleetToken } = settings;
  const { contactMs = DEFAULT_CONTACT_MS } = overrides;
  const timing = createStoreTiming(contactMs);
  const store = new HttpObjectStore(settings.storeUrl, {
    ...{ clock, timing },
    reportCall: ({ kind, outcome, durationMs }) =>
      metrics.storeCallDuration.observe(
        { call: kind, outcome },
        durationMs / 1_000,
      ),
    dialect: overrides.storeDialect,
    eras: new EraTracker((event) => reportEra(event, { log, metrics })),
  });
  const rateLimitedStore = new RateLimitedObjectStore({
    store,
    clock,
    ...createCallLimits(timing),
  });
  const silent = new SilentMembers();
  const membership = new GossipMembership({
    self,
    sentBytes: metrics.sent,
    reportLoss: (loss) => {
      silent.add(loss.member.incarnation);
      reportMemberLoss(loss, { log, metrics, clock });
    },
    fleetToken,
    seeds,
    store: rateLimitedStore,
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
      repeatBind: (bind, isCancelled) =>
        bindWhenFree(bind, {
          ...{ clock, isCancelled },
          reportRetry: (error) =>
            log.warn({ error: error.message }, "address-not-free"),
        }),
    }),
  });
  const configurationDistributor = new ConfigurationDistributor({
    source: overrides.createConfigurationSource?.(rateLimitedStore) ??
      new StoredConfigurationSource(new ConfigurationReader(rateLimitedStore)),
    copyStore: rateLimitedStore,
    ...overrides.watchersPerDomain !== undefined &&
      { watchersPerDomain: overrides.watchersPerDomain },
    watchTimeoutMs: timing.watchTimeoutMs,
    checkTurnMs: contactMs,
    reportPosition: ({ version, revision, watchStartedAtMs }) => {
      metrics.storeVersion.set(version);
      metrics.storeRevision.set(revision);
      metrics.storeWatchStart.set(watchStartedAtMs / 1_000);
    },
    reportRefusal: (refused) => metrics.configuration.countRefusal(refused),
    holder: configuration,
    peers: new DaemonConfigurationPeers(membership, connectionOptions),
    clock,
    random,
    log,
    journal,
  });
  const outbound = createOutboundComponents({
    ...{ settings, self, clock, random, journal, metrics, configuration },
    routing: overrides.routing ?? "adaptive",
  });
  const backend = new BackendRegistry(clock, overrides.announcementTimeoutMs);
  const backendClient = overrides.createBackendClient?.(clock) ??
    new HttpBackendClient(settings.address);
  const fingerprinter = new Fingerprinter(fleetToken);
  const quarantine = new Quarantine({
    ...{ clock, fingerprinter, journal, metrics },
    publish: (notice) => membership.announceNotice(notice),
  });
  const peers = new PeerClients({
    ...connectionOptions,
    reportReplacement: outbound.reportReplacement,
  });
  const allowances = createAllowanceSubsystem({
    ...{ clock, random, configuration, journal, membership, metrics },
    ...{ peers, silent },
  });
  const peerServices = new PeerServices();
  peerServices.register(ALLOWANCE_SERVICE, allowances.handle);
  const responseSizes = new ResponseSizes();
  const environment: CallEnvironment = {
    settings,
    clock,
    eventLoop,
    intake: new RequestIntake({ clock, eventLoop, metrics }),
    log,
    metrics,
    journal,
    configuration,
    configurationProgress: configurationDistributor.progress,
    membership,
    memory,
    peers,
    peerServices,
    backend,
    backendClient,
    quarantine,
    crashes: new CrashRecorder({
      ...{ backend, backendClient, clock, journal, metrics },
      ...{ fingerprinter, quarantine, daemon: self },
    }),
    ...createAdmission(isProtected, {
      clock,
      journal,
      metrics,
      configuration,
      incarnation,
      processor: eventLoop.load,
      isAllowanceUsedUp: (account) => environment.allowances.isUsedUp(account),
    }),
    ...overrides.throttlesByOutcome && {
      entryAdmission: new ThrottledEntryAdmission({
        ...{ clock, random, journal, metrics },
        readLowestRank: () => (configuration.current?.classRanks.size ?? 1) - 1,
      }),
    },
    paths: new LearnedPaths(clock),
    trafficSplitter: new TrafficSplitter(random),
    loadBalancer: outbound.loadBalancer,
    retryPolicy: outbound.retryPolicy,
    joiner: outbound.joiner,
    keys: new KeyLedger({ incarnation, fleetToken, clock }),
    keyPlacement: new KeyPlacement(),
    successors: new SuccessorTable(clock),
    runs: new RunLedger(clock),
    activeCalls: new ActiveCalls(clock),
    responseSizes,
    firstResponses: new FirstResponses(clock, responseSizes),
    leavingServers: new LeavingServers(),
    spillReceipts: new SpillReceipts(clock),
    allowances: allowances.control,
    stop: new StopControl(clock),
  };
  return {
    environment,
    quarantineArchive: new QuarantineArchive({
      ...{ store: rateLimitedStore, quarantine, self, clock, random, log },
    }),
    departureArchive: new DepartureArchive({
      ...{ store: rateLimitedStore, backend, clock, random, log },
      address: settings.address,
    }),
    store,
    membership,
    configurationDistributor,
    outbound,
    connectionOptions,
  };
}

/** Logs and counts an era of the store, or an answer ignored because of its era. */
function reportEra(
  { kind, era, stated }: EraEvent,
  { log, metrics }: Pick<CallEnvironment, "log" | "metrics">,
): void {
  metrics.storeEras.inc({ event: kind });
  if (kind === "first") {
    log.info({ era }, "store-era-first");
  } else {
    log.warn({ era, stated }, `store-era-${kind}`);
  }
}

function createSelfRecord(
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
