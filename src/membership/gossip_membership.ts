/**
 * Membership by gossip over datagrams. Inside a failure domain every daemon
 * knows every other and probes them in turn; a few delegates speak with the
 * other failure domains; each daemon holds of those only what it needs.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import type { ObjectStore } from "../store/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { AntiEntropy } from "./anti_entropy.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import type { DatagramTransport } from "./datagram_transport.ts";
import { DomainExchange } from "./domain_exchange.ts";
import { CappedEvictionGuard } from "./eviction_guard.ts";
import type { EvictionGuard } from "./eviction_guard.ts";
import { FailureDetector, PROBE_INTERVAL_MS } from "./failure_detector.ts";
import { nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { GossipLink } from "./gossip_link.ts";
import type { GossipTraffic } from "./gossip_link.ts";
import { InstanceView } from "./instance_view.ts";
import { MemberTable, MERGE_OUTCOMES } from "./member_table.ts";
import { Membership } from "./membership.ts";
import type { OwnRecordChange } from "./membership.ts";
import { RecordPuller } from "./record_puller.ts";
import { Rejoiner } from "./rejoiner.ts";
import { RemoteContacts } from "./remote_contacts.ts";
import { RumorQueue } from "./rumor_queue.ts";
import { RumorSpreader } from "./rumor_spreader.ts";
import { SeedKeeper } from "./seed_keeper.ts";
import { SeenRumors } from "./seen_rumors.ts";
import { ServiceInterest } from "./service_interest.ts";

/** Interval at which news is sent and short deadlines are checked, in milliseconds. */
const TICK_INTERVAL_MS = 100;

/** Gap between two ticks from which the daemon counts as having been paused, in milliseconds. */
const PAUSE_MS = 1_000;

/** Wait for the answer of peers that are asked for an incarnation, in milliseconds. */
const LOOK_UP_TIMEOUT_MS = 300;

/** Interval at which an awaited record is looked for, in milliseconds. */
const LOOK_UP_POLL_MS = 20;

/** Datagrams in which the last state of a stopping daemon is told. */
const FAREWELL_FANOUT = 6;

/** Dependencies of the membership. */
export interface GossipMembershipOptions {
  readonly self: MemberRecord;
  readonly fleetToken: string;
  readonly seeds: readonly string[];
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly configuration: ConfigurationHolder;
  readonly transport: DatagramTransport;
  readonly journal?: DecisionJournal | undefined;
  /** Bound on evictions; by default a share of a failure domain and of a service. */
  readonly guard?: EvictionGuard | undefined;
  /** Time that a suspect has to refute. */
  readonly suspicionTimeoutMs?: number | undefined;
}

/** Membership of one daemon. */
export class GossipMembership extends Membership {
  readonly #options: GossipMembershipOptions;
  readonly #context: GossipContext;
  readonly #table: MemberTable;
  readonly #rumors = new RumorQueue();
  readonly #seen = new SeenRumors();
  readonly #contacts = new RemoteContacts();
  readonly #link: GossipLink;
  readonly #view: InstanceView;
  readonly #interest: ServiceInterest;
  readonly #detector: FailureDetector;
  readonly #antiEntropy: AntiEntropy;
  readonly #exchange: DomainExchange;
  readonly #puller: RecordPuller;
  readonly #seedKeeper: SeedKeeper;
  readonly #spreader: RumorSpreader;
  readonly #rejoiner: Rejoiner;
  #isDelegate = false;
  #isLearning = false;
  #lastTickAtMs: number;
  #nextProbeAtMs: number;
  #stopTimers: () => void = () => undefined;

  constructor(options: GossipMembershipOptions) {
    super();
    this.#options = options;
    const { clock, configuration, random, self } = options;
    this.#table = new MemberTable({
      self,
      clock,
      guard: options.guard ?? new CappedEvictionGuard(clock),
      onChange: (record, previous) => this.#noteChange(record, previous),
    });
    this.#link = new GossipLink({
      ...options,
      ownAddress: nameTarget(self),
      createHead: () => this.#createHead(),
      handle: (message, source) => this.#handle(message, source),
    });
    this.#context = {
      ...options,
      table: this.#table,
      link: this.#link,
      rumors: this.#rumors,
      journal: options.journal,
      isDelegate: () => this.#isDelegate,
    };
    const context = this.#context;
    this.#interest = new ServiceInterest(configuration, clock);
    this.#view = new InstanceView(this.#table);
    this.#detector = new FailureDetector(context, options.suspicionTimeoutMs);
    this.#antiEntropy = new AntiEntropy(context);
    this.#exchange = new DomainExchange(context, this.#contacts);
    this.#puller = new RecordPuller(context, this.#interest);
    this.#spreader = new RumorSpreader(context);
    this.#rejoiner = new Rejoiner(context);
    this.#seedKeeper = new SeedKeeper(context, {
      ...options,
      contacts: this.#contacts,
      join: (address) => this.#rejoiner.join(address),
    });
    this.#lastTickAtMs = clock.monotonicMs();
    this.#nextProbeAtMs = this.#lastTickAtMs +
      random.nextRatio() * PROBE_INTERVAL_MS;
  }

  override get self(): MemberRecord {
    return this.#table.self;
  }

  override get isDelegate(): boolean {
    return this.#isDelegate;
  }

  /** Bytes and datagrams since the start. */
  get traffic(): Readonly<GossipTraffic> {
    return this.#link.traffic;
  }

  override listInstances(service: string): readonly MemberRecord[] {
    const instances = this.#view.list(service);
    if (
      instances.length === 0 && !this.#isDelegate &&
      this.#interest.noteAsked(service)
    ) {
      this.#puller.restartNamed();
    }
    return instances;
  }

  override find(incarnation: string): MemberRecord | undefined {
    return this.#table.get(incarnation);
  }

  override listAll(): readonly MemberRecord[] {
    return this.#table.list();
  }

  override noteLeaving(incarnation: string): void {
    const known = this.#table.get(incarnation);
    if (known?.state === "alive" || known?.state === "suspect") {
      this.#view.hide(known);
    }
  }

  override async lookUp(
    incarnation: string,
  ): Promise<MemberRecord | undefined> {
    const { clock } = this.#options;
    const deadlineMs = clock.monotonicMs() + LOOK_UP_TIMEOUT_MS;
    this.#seen.expect(incarnation);
    if (!this.find(incarnation)) {
      this.#listOwnDelegates().forEach((delegate) =>
        this.#link.send(nameTarget(delegate), {
          kind: "pull",
          sequence: 0,
          records: [],
          incarnations: [incarnation],
        })
      );
    }
    while (!this.find(incarnation) && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(LOOK_UP_POLL_MS);
    }
    return this.find(incarnation);
  }

  override updateSelf(change: OwnRecordChange): void {
    this.#table.changeSelf(change);
    this.#spreader.spread();
    this.#exchange.flush();
  }

  override announceConfigurationVersion(): void {
    const targets = [
      ...this.#spreader.chooseTargets(),
      ...this.#exchange.chooseTargets(),
    ];
    for (const target of targets) {
      this.#link.send(target, { kind: "push", sequence: 0, records: [] });
    }
  }

  override async start(): Promise<void> {
    const { clock, configuration } = this.#options;
    await this.#link.open();
    this.#rumors.add(this.self);
    const unsubscribe = configuration.subscribe(() => this.#puller.restart());
    const stopTicks = clock.scheduleEvery(
      TICK_INTERVAL_MS,
      () => this.#tick(),
    );
    this.#stopTimers = () => {
      stopTicks();
      unsubscribe();
    };
  }

  override async stop(): Promise<void> {
    this.#stopTimers();
    this.#table.changeSelf({ state: "dead" });
    this.#exchange.flush();
    this.#spreader.spread(FAREWELL_FANOUT);
    await this.#link.close();
  }

  #tick(): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (nowMs - this.#lastTickAtMs > PAUSE_MS) {
      this.#detector.restart();
      this.#exchange.restart();
    }
    this.#lastTickAtMs = nowMs;
    this.#spreader.refill(TICK_INTERVAL_MS);
    this.#spreader.spread();
    this.#exchange.flush();
    this.#puller.pullDue();
    if (nowMs >= this.#nextProbeAtMs) {
      this.#nextProbeAtMs = Math.max(
        this.#nextProbeAtMs + PROBE_INTERVAL_MS,
        nowMs,
      );
      this.#tickSlowly();
    }
  }

  #tickSlowly(): void {
    this.#updateDelegates();
    this.#detector.evictSuspects();
    this.#detector.probeNext();
    this.#exchange.probeNext();
    this.#seedKeeper.tick();
    this.#rejoiner.tick();
    this.#table.forgetDead();
  }

  #updateDelegates(): void {
    const delegates = this.#listOwnDelegates();
    this.#isDelegate = delegates.some(({ incarnation }) =>
      incarnation === this.self.incarnation
    );
    this.#view.updateUnreachable(delegates);
  }

  #listOwnDelegates(): MemberRecord[] {
    return chooseDelegates(this.#table.listDomain(this.self.failureDomain));
  }

  #createHead() {
    const { incarnation, failureDomain } = this.self;
    return {
      sender: incarnation,
      failureDomain,
      configurationVersion: this.#options.configuration.version,
      digest: this.#table.digests.total(failureDomain),
    };
  }

  #handle(message: GossipMessage, source: string): void {
    this.#noteSender(message, source);
    this.#takeRecords(message, source);
    switch (message.kind) {
      case "join":
        this.#rejoiner.handleJoin(message, source);
        break;
      case "ping":
        this.#detector.handlePing(message, source);
        this.#rejoiner.greetStranger(message, source);
        break;
      case "ack":
        this.#detector.handleAck(message);
        break;
      case "ping-request":
        this.#detector.handlePingRequest(message, source);
        break;
      case "digest":
        this.#antiEntropy.handleDigest(message, source);
        break;
      case "pull":
        this.#puller.handlePull(message, source);
        break;
      case "push":
        this.#puller.handleAnswer(message);
    }
    if (message.kind === "ping" || message.kind === "ack") {
      this.#antiEntropy.noteDigest(message, source);
    }
  }

  #noteSender(message: GossipMessage, source: string): void {
    const separator = source.lastIndexOf(":");
    this.notifyConfigurationVersion({
      version: message.configurationVersion,
      incarnation: message.sender,
      address: source.slice(0, separator),
      peerPort: Number(source.slice(separator + 1)),
    });
    if (message.failureDomain !== this.self.failureDomain) {
      this.#contacts.add(message.failureDomain, source);
      this.#exchange.noteHeard(message.failureDomain);
    }
  }

  #takeRecords(message: GossipMessage, source: string): void {
    const newer: MemberRecord[] = [];
    this.#isLearning = message.kind === "push" && message.isReply === true;
    for (const record of message.records) {
      const isStale = this.#takeRecord(record);
      const known = this.#table.get(record.incarnation);
      if (isStale && known) {
        newer.push(known);
      }
    }
    this.#isLearning = false;
    const [first] = newer;
    if (first) {
      this.#link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: [first],
      });
    }
  }

  /** Takes one record; tells whether the sender should hear of a newer one. */
  #takeRecord(record: MemberRecord): boolean {
    if (record.failureDomain !== this.self.failureDomain) {
      this.#contacts.add(record.failureDomain, nameTarget(record));
    }
    if (this.#isKept(record)) {
      return this.#table.merge(record) === MERGE_OUTCOMES.stale;
    }
    if (!this.#isLearning && this.#seen.isNews(record)) {
      this.#rumors.add(record);
    }
    return false;
  }

  #isKept(record: MemberRecord): boolean {
    return record.failureDomain === this.self.failureDomain ||
      this.#isDelegate || this.#table.get(record.incarnation) !== undefined ||
      this.#seen.isExpected(record.incarnation) ||
      this.#interest.wants(record.service, this.self.service);
  }

  #noteChange(record: MemberRecord, previous: MemberRecord | undefined): void {
    if (!this.#isLearning || previous) {
      this.#rumors.add(record);
    }
    this.#view.noteChange(record, previous);
    this.#detector.noteChange(record);
    this.#exchange.noteChange(record);
    if (record.incarnation === this.self.incarnation) {
      if (previous?.service !== record.service) {
        this.#puller.restart();
      }
      return;
    }
    const isRemote = record.failureDomain !== this.self.failureDomain;
    if (isRemote && record.state === "dead") {
      this.#puller.replaceLost();
    }
    if (previous && previous.state !== record.state) {
      this.#options.journal?.record(DECISIONS.membershipChange, {
        incarnation: record.incarnation,
        service: record.service,
        from: previous.state,
        to: record.state,
        version: record.version,
      });
    }
  }
}
