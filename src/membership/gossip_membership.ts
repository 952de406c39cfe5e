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
import type { DatagramTransport } from "./datagram_transport.ts";
import { DomainExchange } from "./domain_exchange.ts";
import { RatioEvictionLimiter } from "./eviction_guard.ts";
import type { EvictionLimiter } from "./eviction_guard.ts";
import { FailureDetector } from "./failure_detector.ts";
import { nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { GossipLink } from "./gossip_link.ts";
import type { GossipTraffic } from "./gossip_link.ts";
import { InstanceView } from "./instance_view.ts";
import { MemberTable } from "./member_table.ts";
import { Membership } from "./membership.ts";
import type { OwnRecordChange } from "./membership.ts";
import { RecordPuller } from "./record_puller.ts";
import { parseTarget } from "./parse_target.ts";
import { PeriodicDuties, TICK_INTERVAL_MS } from "./periodic_duties.ts";
import { RecordIntake } from "./record_intake.ts";
import { Rejoiner } from "./rejoiner.ts";
import { RemoteContacts } from "./remote_contacts.ts";
import { routeMessage } from "./route_message.ts";
import type { MessageParts } from "./route_message.ts";
import { RumorQueue } from "./rumor_queue.ts";
import { RumorSpreader } from "./rumor_spreader.ts";
import { SeedKeeper } from "./seed_keeper.ts";
import { SeenRumors } from "./seen_rumors.ts";
import { ServiceInterest } from "./service_interest.ts";

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
  readonly evictionLimiter?: EvictionLimiter | undefined;
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
  readonly #intake: RecordIntake;
  readonly #parts: MessageParts;
  readonly #duties: PeriodicDuties;
  #stopTimers: () => void = () => undefined;

  constructor(options: GossipMembershipOptions) {
    super();
    this.#options = options;
    const { clock, configuration, self } = options;
    this.#table = new MemberTable({
      self,
      clock,
      evictionLimiter: options.evictionLimiter ??
        new RatioEvictionLimiter(clock),
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
      isDelegate: () => this.#duties.isDelegate,
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
    this.#intake = new RecordIntake(context, {
      interest: this.#interest,
      contacts: this.#contacts,
      seen: this.#seen,
    });
    this.#parts = {
      detector: this.#detector,
      antiEntropy: this.#antiEntropy,
      puller: this.#puller,
      rejoiner: this.#rejoiner,
    };
    this.#duties = new PeriodicDuties(context, {
      detector: this.#detector,
      exchange: this.#exchange,
      puller: this.#puller,
      spreader: this.#spreader,
      rejoiner: this.#rejoiner,
      seedKeeper: this.#seedKeeper,
      intake: this.#intake,
      view: this.#view,
    });
  }

  override get self(): MemberRecord {
    return this.#table.self;
  }

  override get isDelegate(): boolean {
    return this.#duties.isDelegate;
  }

  override get traffic(): Readonly<GossipTraffic> {
    return this.#link.traffic;
  }

  override listInstances(service: string): readonly MemberRecord[] {
    const instances = this.#view.list(service);
    if (
      instances.length === 0 && !this.isDelegate &&
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

  override markLeaving(incarnation: string): void {
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
      this.#duties.listDelegates().forEach((delegate) =>
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
    this.#spreader.announce();
    this.#exchange.announce();
  }

  override async start(): Promise<void> {
    const { clock, configuration } = this.#options;
    await this.#link.open();
    this.#rumors.add(this.self);
    const unsubscribe = configuration.subscribe(() => this.#puller.restart());
    const stopTicks = clock.scheduleEvery(
      TICK_INTERVAL_MS,
      () => this.#duties.tick(),
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
    this.#intake.take(message, source);
    routeMessage(this.#parts, message, source);
  }

  #noteSender(message: GossipMessage, source: string): void {
    const { address, port } = parseTarget(source);
    this.notifyConfigurationVersion({
      version: message.configurationVersion,
      incarnation: message.sender,
      address,
      peerPort: port,
    });
    if (message.failureDomain !== this.self.failureDomain) {
      this.#contacts.add(message.failureDomain, source);
      this.#exchange.noteHeard(message.failureDomain);
    }
  }

  #noteChange(record: MemberRecord, previous: MemberRecord | undefined): void {
    if (!this.#intake.isLearning || previous) {
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
