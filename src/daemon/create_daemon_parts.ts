/**
 * Creation of the parts of one daemon.
 */

import { LearnedPaths, ThrottledEntryAdmission } from "../admission/mod.ts";
import { BackendRegistry, HttpBackendClient } from "../backend/mod.ts";
import type { BackendClient } from "../backend/mod.ts";
import {
  ConfigurationDistributor,
  ConfigurationHolder,
  ConfigurationReader,
  StoredConfigurationSource,
} from "../configuration/mod.ts";
import type { ConfigurationSource } from "../configuration/mod.ts";
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
import { HeartbeatTimer } from "../peer/mod.ts";
import type { DialPeer, PeerConnectionOptions } from "../peer/mod.ts";
import { ActiveCalls, PeerClients } from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { WeightedSplit } from "../routing/mod.ts";
import { HttpObjectStore, RateLimitedObjectStore } from "../store/mod.ts";
import type { ObjectStore, StoreDialect } from "../store/mod.ts";
import {
  createLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../telemetry/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";
import type { Clock } from "../time/mod.ts";
import { createAdmission } from "./create_admission.ts";
import { createOutboundParts } from "./create_outbound_parts.ts";
import type { OutboundParts } from "./create_outbound_parts.ts";
import type { Listener, ListenerContext } from "./listener.ts";
import { DaemonConfigurationPeers } from "./daemon_configuration_peers.ts";

/** Calls to the object API that one daemon may make at once. */
const STORE_BURST_CALLS = 10;

/** Calls to the object API that one daemon may make in the long run. */
const STORE_CALLS_PER_SECOND = 1;

/** Parts of a daemon that tests and deployments replace. */
export interface DaemonOverrides {
  /** Form in which the object API is spoken to. */
  readonly storeDialect?: StoreDialect;
  /** Where accepted configurations are read from. */
  readonly createConfigurationSource?: (
    store: ObjectStore,
  ) => ConfigurationSource;
  /** Daemons of a failure domain that watch the object API. */
  readonly watchersPerDomain?: number;
  /** Decides at the entry by what was served instead of by what services report. */
  readonly throttlesByOutcome?: boolean;
  /** Calls to this VM's backend server. */
  readonly createBackendClient?: (clock: Clock) => BackendClient;
  /** Age after which an announcement that was not renewed lapses, in milliseconds. */
  readonly announcementTimeoutMs?: number;
  /** Whether callers are given keys, so that these are handed over at a stop; true unless given. */
  readonly issuesKeys?: boolean;
  /** Listeners that take the place of the product's own interfaces. */
  readonly createListeners?: (context: ListenerContext) => readonly Listener[];
  /** Opens sockets to other daemons. */
  readonly dial?: DialPeer;
  /** Routing alone may be that of the baseline. */
  readonly routing?: "adaptive" | "random";
}

/** The parts of a daemon. */
export interface DaemonParts {
  readonly environment: CallEnvironment;
  readonly store: HttpObjectStore;
  readonly membership: GossipMembership;
  readonly configurationSpread: ConfigurationDistributor;
  readonly outbound: OutboundParts;
  readonly linkOptions: PeerConnectionOptions;
}

/**
 * Creates the parts of a daemon; nothing listens or sends yet.
 *
 * @param settings - The daemon's settings
 * @param overrides - Parts that tests replace
 * @returns The parts
 *
 * @example
 * const { environment, membership } = createDaemonParts(settings, {});
 */
export function createDaemonParts(
  settings: DaemonSettings,
  overrides: DaemonOverrides,
): DaemonParts {
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
    heartbeatTimer: new HeartbeatTimer(clock),
    maxBodyBytes: settings.maxBodyBytes,
    ...overrides.dial === undefined ? {} : { dial: overrides.dial },
  };
  const journal = new DecisionJournal(clock, log);
  const metrics = new DaemonMetrics();
  const seeds = settings.seeds.split(",").filter((seed) => seed !== "");
  const isProtected = settings.protection === "on";
  const { fleetToken } = settings;
  const store = new HttpObjectStore(
    settings.storeUrl,
    overrides.storeDialect,
  );
  const budgetedStore = new RateLimitedObjectStore({
    store,
    clock,
    burstCalls: STORE_BURST_CALLS,
    callsPerSecond: STORE_CALLS_PER_SECOND,
  });
  const membership = new GossipMembership({
    self,
    fleetToken,
    seeds,
    store: budgetedStore,
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
  const configurationSpread = new ConfigurationDistributor({
    source: overrides.createConfigurationSource?.(budgetedStore) ??
      new StoredConfigurationSource(new ConfigurationReader(budgetedStore)),
    ...overrides.watchersPerDomain !== undefined &&
      { watchersPerDomain: overrides.watchersPerDomain },
    holder: configuration,
    peers: new DaemonConfigurationPeers(membership, linkOptions),
    clock,
    random,
    log,
    journal,
  });
  const outbound = createOutboundParts({
    ...{ settings, self, clock, random, journal, metrics, configuration },
    routing: overrides.routing ?? "adaptive",
  });
  const environment: CallEnvironment = {
    settings,
    clock,
    log,
    metrics,
    journal,
    configuration,
    membership,
    peers: new PeerClients({
      ...linkOptions,
      reportReplacement: outbound.reportReplacement,
    }),
    backend: new BackendRegistry(clock, overrides.announcementTimeoutMs),
    backendClient: overrides.createBackendClient?.(clock) ??
      new HttpBackendClient(settings.address),
    ...createAdmission(isProtected, {
      clock,
      journal,
      metrics,
      configuration,
      incarnation,
    }),
    ...overrides.throttlesByOutcome && {
      entryAdmission: new ThrottledEntryAdmission({
        ...{ clock, random, journal, metrics },
        readLowestRank: () => (configuration.current?.classRanks.size ?? 1) - 1,
      }),
    },
    paths: new LearnedPaths(clock),
    split: new WeightedSplit(random),
    chooser: outbound.chooser,
    retryPolicy: outbound.retryPolicy,
    joiner: outbound.joiner,
    keys: new KeyLedger({ incarnation, fleetToken, clock }),
    keyPlacement: new KeyPlacement(),
    successors: new SuccessorTable(clock),
    runs: new RunLedger(clock),
    activeCalls: new ActiveCalls(clock),
  };
  return {
    environment,
    store,
    membership,
    configurationSpread,
    outbound,
    linkOptions,
  };
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
