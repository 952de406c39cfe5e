/**
 * Creation of the parts of one daemon.
 */

import { BackendClient, BackendRegistry } from "../backend/mod.ts";
import {
  ConfigurationHolder,
  ConfigurationReader,
  ConfigurationSpread,
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
import type { DialPeer, PeerLinkOptions } from "../peer/mod.ts";
import { ActiveCalls, PeerClients } from "../request/mod.ts";
import type { CallEnvironment } from "../request/mod.ts";
import { BudgetedObjectStore, HttpObjectStore } from "../store/mod.ts";
import {
  createLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../telemetry/mod.ts";
import { RandomSource, SystemClock } from "../time/mod.ts";
import { createAdmission } from "./create_admission.ts";
import { createOutboundParts } from "./create_outbound_parts.ts";
import type { OutboundParts } from "./create_outbound_parts.ts";
import { DaemonConfigurationPeers } from "./daemon_configuration_peers.ts";

/** Calls to the object API that one daemon may make at once. */
const STORE_BURST_CALLS = 10;

/** Calls to the object API that one daemon may make in the long run. */
const STORE_CALLS_PER_SECOND = 1;

/** Parts of a daemon that tests replace. */
export interface DaemonOverrides {
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
  readonly configurationSpread: ConfigurationSpread;
  readonly outbound: OutboundParts;
  readonly linkOptions: PeerLinkOptions;
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
    maxBodyBytes: settings.maxBodyBytes,
    ...overrides.dial === undefined ? {} : { dial: overrides.dial },
  };
  const journal = new DecisionJournal(clock);
  const metrics = new DaemonMetrics();
  const seeds = settings.seeds.split(",").filter((seed) => seed !== "");
  const isProtected = settings.protection === "on";
  const { fleetToken } = settings;
  const store = new HttpObjectStore(settings.storeUrl);
  const budgetedStore = new BudgetedObjectStore({
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
  const configurationSpread = new ConfigurationSpread({
    reader: new ConfigurationReader(budgetedStore),
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
