/**
 * Allowances over all daemons: this daemon delegates its share of each account
 * group to the group's holder, borrows tokens there, and is a holder itself.
 *
 * Nothing runs and nothing is sent while neither this daemon has requests of
 * limited accounts nor a holder asks for its shares.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { Refusal } from "../outcome/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { AllowanceControl } from "./allowance_control.ts";
import type {
  AllowanceOptions,
  AllowancePermit,
  LimitedAccount,
} from "./allowance_control.ts";
import type {
  AllowanceFleet,
  AllowanceMessenger,
  FleetMember,
} from "./allowance_fleet.ts";
import { AllowanceHolder } from "./allowance_holder.ts";
import type {
  AccountDemand,
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
  DelegatedShare,
} from "./allowance_message.ts";
import type { AllowanceMetrics } from "./allowance_metrics.ts";
import type { AllowanceStatus } from "./allowance_status.ts";
import { BorrowerAccount } from "./borrower_account.ts";
import { TOKEN_LIFETIME_MS } from "./borrowed_tokens.ts";
import type { TakenToken } from "./borrowed_tokens.ts";
import { GROUP_COUNT } from "./choose_group.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";
import { HolderChannel } from "./holder_channel.ts";
import { HolderContacts } from "./holder_contacts.ts";
import { DELEGATION_MS, OwnShare } from "./own_share.ts";
import { rankHolders } from "./rank_holders.ts";

/** Interval at which delegations, expiries and invitations are checked, in milliseconds. */
const TICK_MS = 100;

/** Time after the last request or invitation for which a group is in use, in milliseconds. */
const IN_USE_MS = 3_000;

/** Interval of invitations to daemons that have not delegated their shares, in milliseconds. */
const INVITE_INTERVAL_MS = 1_000;

/** Longest wait of a request for a token, and the part of its remaining time that it may wait. */
const MAX_WAIT_MS = 250;
const WAIT_RATIO = 0.25;

/** Suggested delay if no holder has replied, in milliseconds; the own share is usable then. */
const NO_HOLDER_RETRY_MS = 1_200;

/** Maximum number of accounts in one message; those with waiting requests go first. */
const MAX_DEMANDS = 256;

/** Maximum number of accounts that are tracked; requests of others are refused. */
const MAX_ACCOUNTS = 20_000;

/** Maximum number of holders with messages in progress that are tracked. */
const MAX_CHANNELS = 256;

/** Dependencies of the control. */
export interface SharedAllowancesOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly fleet: AllowanceFleet;
  readonly messenger: AllowanceMessenger;
  /** Returns an account's limits in the active configuration; undefined if it names none. */
  readonly readLimits: (name: string) => AccountLimits | undefined;
  /** Time since the start of the process, in milliseconds; 0 by default. */
  readonly processAgeMs?: number;
  readonly journal?: DecisionJournal | undefined;
  readonly metrics?: AllowanceMetrics | undefined;
}

interface GroupState {
  readonly share: OwnShare;
  usedUntilMs: number;
  invitedAtMs: number;
  ranking: readonly FleetMember[];
}

/** Holder that is asked for tokens, and the one to which the share may be delegated now. */
interface Route {
  readonly target: FleetMember;
  readonly delegate: FleetMember | undefined;
  /** A preferred holder that has to reply before it gets the share. */
  readonly probed: FleetMember | undefined;
}

/** Number of accounts in the status. */
const MAX_LISTED_ACCOUNTS = 50;

/** Takes part in the allowances of the fleet. */
export class SharedAllowances extends AllowanceControl {
  readonly #options: SharedAllowancesOptions;
  readonly #holder: AllowanceHolder;
  readonly #contacts = new HolderContacts();
  readonly #groups: readonly GroupState[];
  readonly #accounts = new Map<string, BorrowerAccount>();
  readonly #channels = new Map<string, HolderChannel>();
  readonly #self: FleetMember;
  #candidates: readonly FleetMember[] = [];
  #sequence = 0;
  #stopTicks: (() => void) | undefined;
  #isStopped = false;

  constructor(options: SharedAllowancesOptions) {
    super();
    this.#options = options;
    const { clock, fleet, random, readLimits, processAgeMs = 0 } = options;
    this.#self = { incarnation: fleet.self, address: "", peerPort: 0 };
    this.#holder = new AllowanceHolder({
      ...{ clock, random, readLimits },
      gather: (group) => this.#invite(group),
    });
    const startedAtMs = clock.monotonicMs() - processAgeMs;
    this.#groups = Array.from({ length: GROUP_COUNT }, () => ({
      share: new OwnShare(startedAtMs),
      usedUntilMs: Number.NEGATIVE_INFINITY,
      invitedAtMs: Number.NEGATIVE_INFINITY,
      ranking: [],
    }));
    fleet.onChange(() => this.#isRunning && this.#tick());
  }

  override acquire(
    account: LimitedAccount,
    options: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>> {
    const { ratePerSecond = 0, burst = 0 } = account;
    if (ratePerSecond <= 0) {
      return Promise.resolve(ok(UNLIMITED_PERMIT));
    }
    const nowMs = this.#options.clock.monotonicMs();
    const limits = { ratePerSecond, burst };
    const entry = this.#getAccount(account.name, limits);
    if (!entry) {
      const retryAfterMs = NO_HOLDER_RETRY_MS;
      return Promise.resolve(
        err(createRefusal(REASONS.overAllowance, { retryAfterMs })),
      );
    }
    entry.recordRequest(limits, nowMs);
    this.#use(entry.group, nowMs);
    const token = entry.waiting.size === 0
      ? entry.tokens.take(nowMs)
      : undefined;
    if (token) {
      return Promise.resolve(ok(this.#grant(entry, token)));
    }
    if (entry.isDenied(nowMs)) {
      return Promise.resolve(
        err(this.#refuse(entry, options.requestId, "denied-lately")),
      );
    }
    return this.#waitForToken(entry, options);
  }

  override isUsedUp(accountName: string): boolean {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#accounts.get(accountName)?.isUsedUp(nowMs) ?? false;
  }

  /**
   * Handles a daemon's message as its holder. `remainingMs` is the time for which
   * the shares in it are still delegated.
   */
  receive(
    message: AllowanceMessage,
    remainingMs: number,
  ): Promise<AllowanceReply> {
    if (this.#isStopped) {
      return Promise.resolve({ wantedGroups: [], loans: [] });
    }
    this.#run();
    return this.#holder.receive(message, remainingMs);
  }

  /** Handles a holder's invitation: delegates the shares of the groups while the holder needs them. */
  receiveInvitation({ sender, groups }: AllowanceInvitation): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#contacts.recordReply(sender, nowMs);
    groups.forEach((group) => this.#use(group, nowMs));
    this.#tick();
  }

  override get holders(): readonly string[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#groups.flatMap(({ share }) =>
      share.isDelegated(nowMs) ? [share.holder] : []
    );
  }

  override updateMetrics(): void {
    this.#options.metrics?.update(this.describe());
  }

  override describe(): AllowanceStatus {
    const nowMs = this.#options.clock.monotonicMs();
    return {
      memberCount: this.#isRunning ? this.#options.fleet.memberCount : 0,
      holders: this.#groups.flatMap(({ share }, group) =>
        share.isDelegated(nowMs) ? [{ group, holder: share.holder }] : []
      ),
      held: this.#holder.describe(),
      accounts: [...this.#accounts.values()]
        .sort((one, other) =>
          other.granted + other.refused - one.granted - one.refused
        )
        .slice(0, MAX_LISTED_ACCOUNTS)
        .map((entry) => ({
          name: entry.name,
          granted: entry.granted,
          refused: entry.refused,
          isUsedUp: entry.isUsedUp(nowMs),
        })),
    };
  }

  override stop(): void {
    this.#isStopped = true;
    this.#stopTicks?.();
    this.#stopTicks = undefined;
    this.#accounts.forEach((entry) => entry.refuseWaiting());
  }

  get #isRunning(): boolean {
    return this.#stopTicks !== undefined;
  }

  #getAccount(
    name: string,
    limits: AccountLimits,
  ): BorrowerAccount | undefined {
    const known = this.#accounts.get(name);
    if (known || this.#accounts.size >= MAX_ACCOUNTS) {
      return known;
    }
    const entry = new BorrowerAccount(name, limits);
    this.#accounts.set(name, entry);
    return entry;
  }

  #use(group: number, nowMs: number): void {
    const state = this.#groups[group];
    if (state) {
      state.usedUntilMs = nowMs + IN_USE_MS;
      this.#run();
    }
  }

  #run(): void {
    if (!this.#isRunning && !this.#isStopped) {
      this.#stopTicks = this.#options.clock.scheduleEvery(
        TICK_MS,
        () => this.#tick(),
      );
      this.#options.fleet.refresh();
    }
  }

  #grant(entry: BorrowerAccount, token: TakenToken): AllowancePermit {
    const { clock, metrics } = this.#options;
    entry.granted += 1;
    metrics?.recordGranted(entry.name);
    let isReturned = false;
    return {
      giveBack: () => {
        if (!isReturned) {
          isReturned = true;
          entry.granted -= 1;
          entry.tokens.putBack(token, clock.monotonicMs());
        }
      },
    };
  }

  #refuse(entry: BorrowerAccount, requestId: string, cause: string): Refusal {
    const { clock, fleet, journal, metrics, random } = this.#options;
    const nowMs = clock.monotonicMs();
    const retryAfterMs = cause === "no-holder"
      ? Math.ceil(NO_HOLDER_RETRY_MS * (1 + random.nextFloat()))
      : entry.refuse(nowMs, random);
    if (cause === "no-holder") {
      entry.refuse(nowMs, random);
    }
    metrics?.recordRefused(entry.name);
    const { ratePerSecond, burst } = entry.limits;
    journal?.record(DECISIONS.overAllowance, {
      reason: REASONS.overAllowance,
      account: entry.name,
      ...{ cause, ratePerSecond, burst, retryAfterMs },
      holder: this.#groups[entry.group]?.share.holder ?? "",
      memberCount: fleet.memberCount,
      refusedHere: entry.refused,
    }, requestId);
    return createRefusal(REASONS.overAllowance, { retryAfterMs });
  }

  #waitForToken(
    entry: BorrowerAccount,
    { deadlineAtMs, requestId, signal }: AllowanceOptions,
  ): Promise<Result<AllowancePermit, Refusal>> {
    const { clock } = this.#options;
    const remainingMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
    const waitMs = Math.min(MAX_WAIT_MS, remainingMs * WAIT_RATIO);
    return new Promise((resolve) => {
      const settle = (result: Result<AllowancePermit, Refusal>) => {
        cancelTimeout();
        signal.removeEventListener("abort", abort);
        entry.waiting.delete(request);
        resolve(result);
      };
      const request = (token: TakenToken | undefined) =>
        settle(
          token
            ? ok(this.#grant(entry, token))
            : err(this.#refuse(entry, requestId, "denied")),
        );
      const abort = () => settle(err(createRefusal(REASONS.cancelled)));
      const cancelTimeout = clock.schedule(
        waitMs,
        () => settle(err(this.#refuse(entry, requestId, "no-holder"))),
      );
      signal.addEventListener("abort", abort);
      entry.waiting.add(request);
      if (entry.isPrompt(clock.monotonicMs())) {
        this.#ask(entry.group);
      }
    });
  }

  /** Asks the holder of a group for the tokens that requests wait for, unless it is already asked. */
  #ask(group: number): void {
    const nowMs = this.#options.clock.monotonicMs();
    const route = this.#route(group, nowMs);
    if (route && this.#getChannel(route.target).canAsk(nowMs)) {
      this.#send(route.target, nowMs);
    }
  }

  #tick(): void {
    const { clock, fleet } = this.#options;
    const nowMs = clock.monotonicMs();
    if (this.#isStopped) {
      return;
    }
    fleet.refresh();
    this.#holder.maintain();
    this.#forgetIdleAccounts(nowMs);
    const targets = new Map<string, FleetMember>();
    let isInUse = this.#accounts.size > 0;
    this.#groups.forEach((state, group) => {
      const isWanted = this.#holder.isWanted(group);
      isInUse ||= isWanted || nowMs < state.usedUntilMs;
      if (isWanted && nowMs - state.invitedAtMs >= INVITE_INTERVAL_MS) {
        this.#invite(group);
      }
      if (isWanted || nowMs < state.usedUntilMs) {
        const route = this.#route(group, nowMs);
        [route?.target, route?.delegate, route?.probed].forEach((member) =>
          member && targets.set(member.incarnation, member)
        );
      }
    });
    for (const target of targets.values()) {
      const channel = this.#getChannel(target);
      const hasRequests = this.#accounts.size > 0;
      if (channel.isDue(nowMs, hasRequests) || this.#mustAsk(target, nowMs)) {
        this.#send(target, nowMs);
      }
    }
    if (!isInUse) {
      this.#stopTicks?.();
      this.#stopTicks = undefined;
    }
  }

  /** Whether requests wait for a holder that could be asked again, or expired tokens can be returned to it. */
  #mustAsk(target: FleetMember, nowMs: number): boolean {
    const channel = this.#getChannel(target);
    if (!channel.canAsk(nowMs)) {
      return false;
    }
    const isPatient = channel.canAskPatiently(nowMs);
    const isTarget = this.#groups.map((_, group) =>
      this.#route(group, nowMs)?.target.incarnation === target.incarnation
    );
    for (const entry of this.#accounts.values()) {
      const mustAsk = entry.waiting.size > 0 &&
        (isPatient || entry.isPrompt(nowMs));
      if (isTarget[entry.group] && (mustAsk || entry.tokens.hasUnused(nowMs))) {
        return true;
      }
    }
    return false;
  }

  #forgetIdleAccounts(nowMs: number): void {
    for (const [name, entry] of this.#accounts) {
      if (entry.isIdle(nowMs)) {
        this.#accounts.delete(name);
      }
    }
  }

  /** Decides where tokens are borrowed and where the share goes; undefined until the fleet is known. */
  #route(group: number, nowMs: number): Route | undefined {
    const { fleet } = this.#options;
    const state = this.#groups[group];
    if (!state || fleet.memberCount === 0) {
      return undefined;
    }
    const { share } = state;
    const preferred =
      this.#rank(state, group).find(({ incarnation }) =>
        this.#isSelf(incarnation) || this.#contacts.isUsable(incarnation, nowMs)
      ) ?? this.#self;
    const isProven = this.#isSelf(preferred.incarnation) ||
      this.#contacts.isProven(preferred.incarnation, nowMs);
    const probed = isProven ? undefined : preferred;
    if (
      isProven && share.holder !== preferred.incarnation &&
      this.#isSelf(share.holder) && share.isDelegated(nowMs)
    ) {
      this.#holder.revoke(this.#self.incarnation, group);
      share.recall(nowMs);
    }
    const current = this.#findCurrent(state, nowMs);
    if (current && current.incarnation !== preferred.incarnation) {
      const isKept = !isProven;
      return {
        target: current,
        delegate: isKept ? current : undefined,
        probed,
      };
    }
    const isAvailable = isProven &&
      share.isAvailable(preferred.incarnation, nowMs);
    return {
      target: preferred,
      delegate: isAvailable ? preferred : undefined,
      probed,
    };
  }

  /** Returns the holder that has the share now, if it can be asked. */
  #findCurrent({ share, ranking }: GroupState, nowMs: number) {
    if (!share.isDelegated(nowMs)) {
      return undefined;
    }
    const { holder } = share;
    if (this.#isSelf(holder)) {
      return this.#self;
    }
    return this.#contacts.isUsable(holder, nowMs)
      ? ranking.find(({ incarnation }) => incarnation === holder)
      : undefined;
  }

  #rank(state: GroupState, group: number): readonly FleetMember[] {
    const candidates = this.#options.fleet.listCandidates();
    if (candidates !== this.#candidates) {
      this.#candidates = candidates;
      this.#groups.forEach((other, index) =>
        other.ranking = rankHolders(candidates, index)
      );
    }
    return this.#groups[group]?.ranking ?? state.ranking;
  }

  #isSelf(incarnation: string): boolean {
    return incarnation === this.#self.incarnation;
  }

  #getChannel({ incarnation }: FleetMember): HolderChannel {
    const known = this.#channels.get(incarnation);
    if (known) {
      return known;
    }
    const channel = new HolderChannel();
    this.#channels.set(incarnation, channel);
    if (this.#channels.size > MAX_CHANNELS) {
      const [oldest = ""] = this.#channels.keys();
      this.#channels.delete(oldest);
    }
    return channel;
  }

  #send(target: FleetMember, nowMs: number): void {
    const channel = this.#getChannel(target);
    channel.begin(nowMs);
    this.#sequence += 1;
    const message: AllowanceMessage = {
      kind: "update",
      sender: this.#self.incarnation,
      sequence: this.#sequence,
      shares: this.#delegateShares(target, nowMs),
      demands: this.#listDemands(target, nowMs),
    };
    const validUntilMs = nowMs + DELEGATION_MS;
    const { clock, messenger } = this.#options;
    const replied = this.#isSelf(target.incarnation)
      ? this.#holder.receive(message, validUntilMs - clock.monotonicMs())
      : messenger.update(target, message, { validUntilMs });
    void replied.then((reply) => {
      channel.end();
      this.#handleReply(target, reply, nowMs);
    });
  }

  #delegateShares(target: FleetMember, nowMs: number): DelegatedShare[] {
    const { memberCount } = this.#options.fleet;
    return this.#groups.flatMap((state, group) => {
      const isInUse = nowMs < state.usedUntilMs || this.#holder.isWanted(group);
      const route = isInUse ? this.#route(group, nowMs) : undefined;
      if (route?.delegate?.incarnation !== target.incarnation) {
        return [];
      }
      const unusedMs = state.share.getUnusedMs(nowMs);
      state.share.delegate(target.incarnation, nowMs);
      return [{ group, memberCount, unusedMs: Math.round(unusedMs) }];
    });
  }

  #listDemands(target: FleetMember, nowMs: number): AccountDemand[] {
    const isTarget = this.#groups.map((_, group) =>
      this.#route(group, nowMs)?.target.incarnation === target.incarnation
    );
    const entries = [...this.#accounts.values()].filter(({ group }) =>
      isTarget[group]
    );
    const chosen = entries.length <= MAX_DEMANDS
      ? entries
      : entries.sort((one, other) => other.waiting.size - one.waiting.size)
        .slice(0, MAX_DEMANDS);
    return chosen.flatMap((entry) =>
      entry.describeDemand(target.incarnation, nowMs) ?? []
    );
  }

  #handleReply(
    { incarnation }: FleetMember,
    reply: AllowanceReply | undefined,
    sentAtMs: number,
  ): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (!reply) {
      this.#contacts.recordFailure(incarnation, nowMs);
      return;
    }
    this.#contacts.recordReply(incarnation, nowMs);
    reply.wantedGroups.forEach((group) => this.#use(group, nowMs));
    const token = {
      holder: incarnation,
      expiresAtMs: sentAtMs + TOKEN_LIFETIME_MS,
    };
    const asked = new Set<number>();
    for (const loan of reply.loans) {
      const entry = this.#accounts.get(loan.name);
      entry?.receive(loan, token, nowMs);
      if (entry && entry.waiting.size > 0 && entry.isPrompt(nowMs)) {
        asked.add(entry.group);
      }
    }
    asked.forEach((group) => this.#ask(group));
  }

  /** Asks the daemons that have not delegated their shares, if this daemon is the holder that others choose too. */
  #invite(group: number): void {
    const { clock, fleet, messenger } = this.#options;
    const nowMs = clock.monotonicMs();
    const state = this.#groups[group];
    if (!state) {
      return;
    }
    const [first] = this.#rank(state, group).filter(({ incarnation }) =>
      this.#isSelf(incarnation) || this.#contacts.isUsable(incarnation, nowMs)
    );
    if (first && this.#isSelf(first.incarnation)) {
      state.invitedAtMs = nowMs;
      this.#use(group, nowMs);
      const invitation = {
        kind: "invite" as const,
        sender: this.#self.incarnation,
        groups: [group],
      };
      for (const member of fleet.listMembers()) {
        if (!this.#holder.hasShare(member.incarnation, group)) {
          messenger.invite(member, invitation);
        }
      }
    }
  }
}

const UNLIMITED_PERMIT: AllowancePermit = { giveBack: () => undefined };
