/**
 * A daemon in the test process, without its HTTP listeners: the real call path and
 * peer connections, with a recording backend server and a membership that the test
 * controls.
 */

import { Socket } from "node:net";
import { UnlimitedAllowances } from "../../allowance/mod.ts";
import {
  LearnedPaths,
  UnprotectedAdmission,
  UnprotectedEntryAdmission,
} from "../../admission/mod.ts";
import { BackendRegistry } from "../../backend/mod.ts";
import {
  ConfigurationHolder,
  ConfigurationProgress,
} from "../../configuration/mod.ts";
import { EventLoopWatch } from "../../event_loop/mod.ts";
import { RequestIntake } from "../../intake/mod.ts";
import type { DaemonSettings, MemberRecord } from "../../generated/types.ts";
import {
  KeyLedger,
  KeyPlacement,
  RunLedger,
  SuccessorTable,
} from "../../idempotency/mod.ts";
import { StopControl } from "../../leaving/mod.ts";
import type { KeyLedgerOptions } from "../../idempotency/mod.ts";
import { createIncarnation } from "../../membership/mod.ts";
import { PeerServer, PeerServices } from "../../peer/mod.ts";
import type { DialPeer } from "../../peer/mod.ts";
import {
  ActiveCalls,
  FirstResponses,
  handOverKeys,
  LeavingServers,
  PeerClients,
  ResponseSizes,
  serveEntryCall,
  servePeerCall,
} from "../../request/mod.ts";
import {
  CrashRecorder,
  Fingerprinter,
  Quarantine,
} from "../../quarantine/mod.ts";
import type { CallEnvironment, EntryCall } from "../../request/mod.ts";
import {
  AllowanceRetryPolicy,
  CallJoiner,
  MAX_JOINABLE_CALLS,
  RetryBudget,
} from "../../retry/mod.ts";
import {
  RandomLoadBalancer,
  SpillReceipts,
  TrafficSplitter,
} from "../../routing/mod.ts";
import {
  createSilentLogger,
  DaemonMetrics,
  DecisionJournal,
} from "../../telemetry/mod.ts";
import { RandomSource, SystemClock } from "../../time/mod.ts";
import type { Clock } from "../../time/mod.ts";
import { createTestBudget, createTestMemory } from "../create_test_memory.ts";
import { createTestConfiguration } from "../create_test_configuration.ts";
import type { History } from "./history.ts";
import { RecordingBackend } from "./recording_backend.ts";
import type { RecordingBackendOptions } from "./recording_backend.ts";
import { SharedMembership } from "./shared_membership.ts";
import type { Directory } from "./shared_membership.ts";

/** Fleet token of the nodes. */
export const FLEET_TOKEN = "guarded-token";

/** Components that a test can replace with defective ones. */
export interface ReplaceableParts {
  readonly createKeys: (options: KeyLedgerOptions) => KeyLedger;
  readonly createRuns: (clock: Clock) => RunLedger;
  readonly createBackend: (
    options: RecordingBackendOptions,
  ) => RecordingBackend;
  /** Wraps the dial function of the daemon at an address. */
  readonly wrapDial: (dial: DialPeer, fromAddress: string) => DialPeer;
}

/** Address and service of a node, and what it shares with the other nodes. */
export interface FaultInjectionNodeOptions {
  readonly address: string;
  readonly peerPort: number;
  readonly service: string;
  readonly directory: Directory;
  readonly history: History;
  readonly randomSeed: number;
  readonly dial: DialPeer;
  readonly parts: Partial<ReplaceableParts>;
}

/** System clock whose timers don't keep the test process alive. */
class BackgroundClock extends SystemClock {
  override schedule(delayMs: number, callback: () => void): () => void {
    const timer = setTimeout(callback, delayMs).unref();
    return () => clearTimeout(timer);
  }
}

/** A node of the fleet, in place of one daemon process. */
export class FaultInjectionNode {
  readonly environment: CallEnvironment;
  readonly backend: RecordingBackend;
  readonly crashed: Promise<"lost">;
  readonly #options: FaultInjectionNodeOptions;
  readonly #server: PeerServer;
  #markCrashed: (outcome: "lost") => void = () => undefined;

  constructor(options: FaultInjectionNodeOptions) {
    this.#options = options;
    this.crashed = new Promise((resolve) => this.#markCrashed = resolve);
    const self = createRecord(options);
    const clock = new BackgroundClock();
    const random = new RandomSource(options.randomSeed);
    const { service, history, parts } = options;
    const backendOptions: RecordingBackendOptions = {
      ...{ history, random, service },
      makeNestedCall: (call) => this.#makeNestedCall(call.callToken, call.path),
    };
    this.backend = parts.createBackend?.(backendOptions) ??
      new RecordingBackend(backendOptions);
    const dial = parts.wrapDial?.(options.dial, options.address) ??
      options.dial;
    const { incarnation, failureDomain } = self;
    const identity = { incarnation, failureDomain, fleetToken: FLEET_TOKEN };
    const peerOptions = {
      ...{ identity, clock, memory: createTestBudget() },
      dial: (address: Parameters<DialPeer>[0]) =>
        this.backend.isCrashed ? new Socket().destroy() : dial(address),
    };
    this.environment = this.#createEnvironment(self, {
      clock,
      random,
      peers: new PeerClients(peerOptions),
    });
    this.#server = new PeerServer({
      ...peerOptions,
      handleCall: (call, callOptions) => {
        if (call.purpose === "run") {
          const { requestId } = call.context;
          history.add({ kind: "attempt", requestId });
        }
        return servePeerCall(this.environment, call, callOptions);
      },
      reportError: () => undefined,
    });
  }

  /** Incarnation of the node. */
  get incarnation(): string {
    return this.environment.membership.self.incarnation;
  }

  /** Starts listening for peer connections. */
  async start(): Promise<void> {
    const { address, peerPort } = this.#options;
    await this.#server.listen(address, peerPort);
  }

  /** Serves a call as its entry daemon; `lost` if the node crashes before the outcome is known. */
  serve(
    entry: EntryCall,
  ): Promise<"lost" | Awaited<ReturnType<typeof serveEntryCall>>> {
    return Promise.race([
      serveEntryCall(this.environment, entry),
      this.crashed,
    ]);
  }

  /** Crashes the node: it sends, receives and runs nothing from now on. */
  crash(): void {
    this.backend.isCrashed = true;
    this.environment.peers.close();
    void this.#server.close();
    this.#markCrashed("lost");
  }

  /** Performs a planned stop, which hands over the idempotency keys. */
  async stop(): Promise<void> {
    const { environment } = this;
    environment.membership.updateSelf({ state: "leaving" });
    environment.backend.leave();
    const sendLateOutcomes = await handOverKeys(environment);
    await sendLateOutcomes();
  }

  /** Makes a non-repeatable nested call from a running call. */
  async #makeNestedCall(callToken: string, path: string): Promise<void> {
    const parent = this.environment.activeCalls.find(callToken);
    if (this.#options.service !== "delivery-ledger" || !parent) {
      return;
    }
    await serveEntryCall(this.environment, {
      ...createEntryCall(path),
      service: "stock",
      parent,
    });
  }

  #createEnvironment(
    self: MemberRecord,
    { clock, random, peers }: {
      clock: Clock;
      random: RandomSource;
      peers: PeerClients;
    },
  ): CallEnvironment {
    const { directory, parts, service } = this.#options;
    const configuration = new ConfigurationHolder();
    configuration.replaceIfNewer(createTestConfiguration(), 1);
    const registry = new BackendRegistry(clock);
    registry.announce({
      ...{ service, port: 1, slots: 16, connections: 16 },
      ...{ reportsLoad: true, coldStartMs: 0, inFlight: 0 },
    });
    const inboundAdmission = new UnprotectedAdmission();
    inboundAdmission.setCapacity(16);
    const metrics = new DaemonMetrics();
    const journal = new DecisionJournal(clock);
    const eventLoop = new EventLoopWatch({ clock });
    const log = createSilentLogger();
    const fingerprinter = new Fingerprinter(FLEET_TOKEN);
    const quarantine = new Quarantine({
      ...{ clock, fingerprinter, journal, metrics },
      publish: () => undefined,
    });
    const { incarnation } = self;
    const responseSizes = new ResponseSizes();
    const keyOptions = { incarnation, fleetToken: FLEET_TOKEN, clock };
    return {
      settings: {
        fleetToken: FLEET_TOKEN,
        maxBodyBytes: 1_000_000,
      } as DaemonSettings,
      ...{ clock, peers, configuration, inboundAdmission, metrics, journal },
      eventLoop,
      intake: new RequestIntake({ clock, eventLoop, metrics }),
      log,
      configurationProgress: new ConfigurationProgress({
        ...{ holder: configuration, clock, log, journal },
      }),
      membership: new SharedMembership(directory, self),
      memory: createTestBudget(),
      backend: registry,
      backendClient: this.backend,
      entryAdmission: new UnprotectedEntryAdmission(),
      paths: new LearnedPaths(clock),
      loadBalancer: new RandomLoadBalancer(random),
      trafficSplitter: new TrafficSplitter(random),
      retryPolicy: new AllowanceRetryPolicy(
        new RetryBudget(clock, () => 1),
      ),
      joiner: new CallJoiner(MAX_JOINABLE_CALLS),
      keys: parts.createKeys?.(keyOptions) ?? new KeyLedger(keyOptions),
      keyPlacement: new KeyPlacement(),
      successors: new SuccessorTable(clock),
      runs: parts.createRuns?.(clock) ?? new RunLedger(clock),
      activeCalls: new ActiveCalls(clock),
      responseSizes,
      firstResponses: new FirstResponses(clock, responseSizes),
      leavingServers: new LeavingServers(),
      spillReceipts: new SpillReceipts(clock),
      allowances: new UnlimitedAllowances(),
      peerServices: new PeerServices(),
      stop: new StopControl(clock),
      quarantine,
      crashes: new CrashRecorder({
        ...{ backend: registry, backendClient: this.backend, clock },
        ...{ journal, metrics, fingerprinter, quarantine, daemon: self },
      }),
    };
  }
}

/**
 * Creates a non-repeatable entry call.
 *
 * @param path - Path of the call
 * @returns The call, with an empty request id and idempotency key
 *
 * @example
 * const entry = { ...createEntryCall("/deliveries/1"), requestId, idempotencyKey };
 */
export function createEntryCall(path: string): EntryCall {
  return {
    service: "delivery-ledger",
    method: "POST",
    path,
    contentType: "",
    body: new Uint8Array(0),
    memory: createTestMemory(),
    requestId: "",
    idempotencyKey: "",
    attempt: 0,
    member: "member-1",
    tenant: "members",
    deadlineMs: undefined,
    isMarkedNonRepeatable: true,
    parent: undefined,
    signal: new AbortController().signal,
  };
}

function createRecord(options: FaultInjectionNodeOptions): MemberRecord {
  const { address, peerPort, service } = options;
  const startedAtMs = Date.now();
  return {
    incarnation: createIncarnation({ address, peerPort, startedAtMs }),
    ...{ address, peerPort, service, startedAtMs },
    region: "vlaanderen",
    failureDomain: "gent-a",
    version: 1,
    state: "alive",
    slots: 16,
    inFlight: 0,
    warmAtMs: 0,
    successor: "",
  };
}
