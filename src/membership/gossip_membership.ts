/**
 * Fleet membership by gossip over datagrams. Within a failure domain, every
 * daemon knows and probes all others. Delegates exchange records with the other
 * failure domains; every other daemon holds only the remote records it needs.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import type { ObjectStore } from "../store/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal, Logger, SentBytes } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { AntiEntropy } from "./anti_entropy.ts";
import type { DatagramTransport } from "./datagram_transport.ts";
import { createDepartureRecord, readDeparture } from "./departure_record.ts";
import { CrossDomainGossip } from "./cross_domain_gossip.ts";
import { RatioEvictionLimiter } from "./eviction_limiter.ts";
import type { EvictionLimiter } from "./eviction_limiter.ts";
import { FailureDetector } from "./failure_detector.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { GossipLink } from "./gossip_link.ts";
import type { GossipTraffic } from "./gossip_link.ts";
import { InstanceView } from "./instance_view.ts";
import { LossReporter } from "./loss_reporter.ts";
import type { ReportLoss } from "./loss_reporter.ts";
import { MemberTable, MERGE_OUTCOMES } from "./member_table.ts";
import { Membership } from "./membership.ts";
import type { FleetNotice, OwnRecordChange } from "./membership.ts";
import { copyNotice, createNoticeRecords, isNotice } from "./notice_record.ts";
import { RecordPuller } from "./record_puller.ts";
import { parseGossipAddress } from "./parse_gossip_address.ts";
import { PeriodicTasks, TICK_INTERVAL_MS } from "./periodic_tasks.ts";
import { RecordReceiver } from "./record_receiver.ts";
import { Rejoiner } from "./rejoiner.ts";
import { RemoteContacts } from "./remote_contacts.ts";
import { routeMessage } from "./route_message.ts";
import type { MessageHandlers } from "./route_message.ts";
import { RumorQueue } from "./rumor_queue.ts";
import { RumorSpreader } from "./rumor_spreader.ts";
import { SeedListManager } from "./seed_list_manager.ts";
import { SeenRumors } from "./seen_rumors.ts";
import { ServiceInterest } from "./service_interest.ts";

/** Time to wait for peers to return the record of an incarnation, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 300;

/** Interval at which a lookup checks for the record, in milliseconds. */
const LOOKUP_POLL_INTERVAL_MS = 20;

/** Number of members to which a stopping daemon sends its final state. */
const SHUTDOWN_FANOUT = 6;

/** Dependencies and settings of the membership. */
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
  /** Counts the bytes sent, if given. */
  readonly sentBytes?: SentBytes | undefined;
  /** Called for each member that ended without saying that it leaves, if given. */
  readonly reportLoss?: ReportLoss | undefined;
  /** Limits evictions. Defaults to a share of each failure domain and each service. */
  readonly evictionLimiter?: EvictionLimiter | undefined;
  /** Time in which a suspect can refute the suspicion, in milliseconds. */
  readonly suspicionTimeoutMs?: number | undefined;
}

/** One daemon's membership by gossip. */
export class GossipMembership extends Membership {
  readonly #options: GossipMembershipOptions;
  readonly #context: GossipContext;
  readonly #table: MemberTable;
  readonly #rumors = new RumorQueue();
  readonly #seenRumors = new SeenRumors();
  readonly #contacts = new RemoteContacts();
  readonly #link: GossipLink;
  readonly #view: InstanceView;
  readonly #interest: ServiceInterest;
  readonly #detector: FailureDetector;
  readonly #antiEntropy: AntiEntropy;
  readonly #crossDomain: CrossDomainGossip;
  readonly #puller: RecordPuller;
  readonly #seedLists: SeedListManager;
  readonly #spreader: RumorSpreader;
  readonly #rejoiner: Rejoiner;
  readonly #receiver: RecordReceiver;
  readonly #losses: LossReporter;
  readonly #handlers: MessageHandlers;
  readonly #tasks: PeriodicTasks;
  #isStopped = false;
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
      onChange: (record, previous) => this.#handleChange(record, previous),
    });
    this.#link = new GossipLink({
      ...options,
      ownAddress: formatGossipAddress(self),
      createHeader: () => this.#createHeader(),
      recordSent: (kind, target, bytes) =>
        options.sentBytes?.record(
          `gossip-${kind}`,
          this.#table.findByAddress(target)?.failureDomain ?? "",
          bytes,
        ),
      handle: (message, source) => this.#handle(message, source),
    });
    this.#context = {
      ...options,
      table: this.#table,
      link: this.#link,
      rumors: this.#rumors,
      journal: options.journal,
      isDelegate: () => this.#tasks.isDelegate,
    };
    const context = this.#context;
    this.#interest = new ServiceInterest(configuration, clock);
    this.#view = new InstanceView(this.#table);
    this.#detector = new FailureDetector(context, options.suspicionTimeoutMs);
    this.#antiEntropy = new AntiEntropy(context);
    this.#crossDomain = new CrossDomainGossip(context, this.#contacts);
    this.#puller = new RecordPuller(context, this.#interest);
    this.#spreader = new RumorSpreader(context);
    this.#rejoiner = new Rejoiner(context);
    this.#seedLists = new SeedListManager(context, {
      ...options,
      contacts: this.#contacts,
      join: (address) => this.#rejoiner.join(address),
    });
    this.#receiver = new RecordReceiver(context, {
      interest: this.#interest,
      contacts: this.#contacts,
      seenRumors: this.#seenRumors,
      handleNotice: (notice) => this.notifyNotice(notice),
    });
    this.#losses = new LossReporter(
      context,
      options.reportLoss ?? (() => undefined),
    );
    this.#handlers = {
      detector: this.#detector,
      antiEntropy: this.#antiEntropy,
      puller: this.#puller,
      rejoiner: this.#rejoiner,
    };
    this.#tasks = new PeriodicTasks(context, {
      detector: this.#detector,
      crossDomain: this.#crossDomain,
      puller: this.#puller,
      spreader: this.#spreader,
      rejoiner: this.#rejoiner,
      seedLists: this.#seedLists,
      receiver: this.#receiver,
      view: this.#view,
    });
  }

  override get self(): MemberRecord {
    return this.#table.self;
  }

  override get isDelegate(): boolean {
    return this.#tasks.isDelegate;
  }

  override get traffic(): Readonly<GossipTraffic> {
    return this.#link.traffic;
  }

  override listInstances(service: string): readonly MemberRecord[] {
    const instances = this.#view.list(service);
    if (
      instances.length === 0 && !this.isDelegate &&
      this.#interest.recordRequest(service)
    ) {
      this.#puller.restartNamed();
    }
    return instances;
  }

  override find(incarnation: string): MemberRecord | undefined {
    return this.#table.get(incarnation);
  }

  override listAll(): readonly MemberRecord[] {
    return this.#table.list().filter((record) => !isNotice(record));
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
    const deadlineMs = clock.monotonicMs() + LOOKUP_TIMEOUT_MS;
    this.#seenRumors.expectRecord(incarnation);
    if (!this.find(incarnation)) {
      this.#tasks.listDelegates().forEach((delegate) =>
        this.#link.send(formatGossipAddress(delegate), {
          kind: "pull",
          sequence: 0,
          records: [],
          incarnations: [incarnation],
        })
      );
    }
    while (!this.find(incarnation) && clock.monotonicMs() < deadlineMs) {
      await clock.sleep(LOOKUP_POLL_INTERVAL_MS);
    }
    return this.find(incarnation);
  }

  override updateSelf(change: OwnRecordChange): void {
    this.#table.changeSelf(change);
    this.#spreader.spread();
    this.#crossDomain.flush();
  }

  override announceDeparture(serverId: string): void {
    const record = createDepartureRecord(this.self, serverId);
    if (record && !this.#table.get(record.incarnation)) {
      this.#table.merge(record);
      this.#spreader.spread();
      this.#crossDomain.flush();
    }
  }

  override announceNotice(notice: FleetNotice): void {
    for (const record of createNoticeRecords(this.self, notice)) {
      this.#table.merge(record);
    }
    this.#spreader.spread();
    this.#crossDomain.flush();
  }

  override announceConfigurationVersion(): void {
    this.#spreader.announceConfigurationVersion();
    this.#crossDomain.announceConfigurationVersion();
  }

  override async start(): Promise<void> {
    const { clock, configuration } = this.#options;
    await this.#link.open();
    if (this.#isStopped) {
      return;
    }
    this.#rumors.add(this.self);
    const unsubscribe = configuration.subscribe(() => this.#puller.restart());
    const stopTicks = clock.scheduleEvery(
      TICK_INTERVAL_MS,
      () => this.#tasks.tick(),
    );
    this.#stopTimers = () => {
      stopTicks();
      unsubscribe();
    };
  }

  override async stop(): Promise<void> {
    this.#isStopped = true;
    this.#stopTimers();
    this.#table.changeSelf({ state: "dead" });
    this.#crossDomain.flush();
    this.#spreader.spread(SHUTDOWN_FANOUT);
    await this.#link.close();
  }

  #createHeader() {
    const { incarnation, failureDomain } = this.self;
    return {
      sender: incarnation,
      failureDomain,
      configurationVersion: this.#options.configuration.version,
      digest: this.#table.digests.total(failureDomain),
    };
  }

  #handle(message: GossipMessage, source: string): void {
    this.#recordSender(message, source);
    this.#losses.receive(message, source);
    this.#receiver.receive(message, source);
    routeMessage(this.#handlers, message, source);
  }

  #recordSender(message: GossipMessage, source: string): void {
    const { address, port } = parseGossipAddress(source);
    this.notifyConfigurationVersion({
      version: message.configurationVersion,
      incarnation: message.sender,
      address,
      peerPort: port,
    });
    if (message.failureDomain !== this.self.failureDomain) {
      this.#contacts.add(message.failureDomain, source);
      this.#crossDomain.recordActivity(message.failureDomain);
    }
  }

  /** Adds the copy of a notice of another failure domain to this one, on its members' behalf. */
  #copyNotice(record: MemberRecord): void {
    const copy = this.isDelegate ? copyNotice(record, this.self) : undefined;
    if (copy && this.#table.merge(copy) === MERGE_OUTCOMES.changed) {
      // Also if the original came in a reply, which is not passed on.
      this.#rumors.add(copy);
    }
  }

  #handleChange(
    record: MemberRecord,
    previous: MemberRecord | undefined,
  ): void {
    if (!this.#receiver.isReceivingReply || previous) {
      this.#rumors.add(record);
    }
    this.#view.handleChange(record, previous);
    this.#detector.handleChange(record);
    this.#crossDomain.handleChange(record);
    if (record.incarnation === this.self.incarnation) {
      if (previous?.service !== record.service) {
        this.#puller.restart();
      }
      return;
    }
    if (isNotice(record)) {
      this.#copyNotice(record);
      return;
    }
    const serverId = readDeparture(record);
    if (serverId !== undefined) {
      if (formatGossipAddress(record) === formatGossipAddress(this.self)) {
        this.notifyDeparture(serverId);
      }
      return;
    }
    const isRemote = record.failureDomain !== this.self.failureDomain;
    if (isRemote && record.state === "dead") {
      this.#puller.scheduleReplacementPull();
    }
    if (previous && previous.state !== record.state) {
      const loss = this.#losses.handleChange(record, previous);
      this.#options.journal?.record(DECISIONS.membershipChange, {
        incarnation: record.incarnation,
        service: record.service,
        from: previous.state,
        to: record.state,
        version: record.version,
        ...loss,
      });
    }
  }
}
