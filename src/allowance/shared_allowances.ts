/**
 * Allowances over all daemons: this daemon delegates its share of each account
 * group to the group's holder, borrows tokens there, and is a holder itself.
 *
 * Nothing runs and nothing is sent while neither this daemon has requests of
 * limited accounts nor a holder asks for its shares.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Refusal } from "../outcome/mod.ts";
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
  AllowanceInvitation,
  AllowanceMessage,
  AllowanceReply,
} from "./allowance_message.ts";
import type { AllowanceMetrics } from "./allowance_metrics.ts";
import type { AllowanceStatus } from "./allowance_status.ts";
import { BorrowerAccounts } from "./borrower_accounts.ts";
import type { AccountLimits } from "./compute_partial_limits.ts";
import { GroupRoutes } from "./group_routes.ts";
import { HolderExchange } from "./holder_exchange.ts";
import { TokenRequests } from "./token_requests.ts";

/** Interval at which delegations, expiries and invitations are checked, in milliseconds. */
const TICK_MS = 100;

/** Time after the last request or invitation for which a group is in use, in milliseconds. */
const IN_USE_MS = 3_000;

/** Interval of invitations to daemons that have not delegated their shares, in milliseconds. */
const INVITE_INTERVAL_MS = 1_000;

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

/** Takes part in the allowances of the fleet. */
export class SharedAllowances extends AllowanceControl {
  readonly #options: SharedAllowancesOptions;
  readonly #holder: AllowanceHolder;
  readonly #routes: GroupRoutes;
  readonly #accounts = new BorrowerAccounts();
  readonly #exchange: HolderExchange;
  readonly #requests: TokenRequests;
  #stopTicks: (() => void) | undefined;
  #isStopped = false;

  constructor(options: SharedAllowancesOptions) {
    super();
    this.#options = options;
    const { clock, fleet, random, readLimits, processAgeMs = 0 } = options;
    this.#holder = new AllowanceHolder({
      ...{ clock, random, readLimits },
      gather: (group) => this.#invite(group),
    });
    this.#routes = new GroupRoutes({
      fleet,
      startedAtMs: clock.monotonicMs() - processAgeMs,
      revokeOwn: (group) =>
        this.#holder.revoke(this.#routes.self.incarnation, group),
    });
    this.#exchange = new HolderExchange({
      ...{ clock, fleet, messenger: options.messenger, holder: this.#holder },
      ...{ routes: this.#routes, accounts: this.#accounts },
      use: (group, nowMs) => this.#use(group, nowMs),
    });
    this.#requests = new TokenRequests({
      ...{ clock, random, fleet },
      ...{ journal: options.journal, metrics: options.metrics },
      getHolder: (group) => this.#routes.groups[group]?.share.holder ?? "",
      ask: (group) => this.#exchange.ask(group),
    });
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
    const entry = this.#accounts.open(account.name, limits);
    if (!entry) {
      return Promise.resolve(err(this.#requests.refuseUntracked()));
    }
    entry.recordRequest(limits, nowMs);
    this.#use(entry.group, nowMs);
    return this.#requests.acquire(entry, options);
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
    this.#routes.contacts.recordReply(sender, nowMs);
    groups.forEach((group) => this.#use(group, nowMs));
    this.#tick();
  }

  override get holders(): readonly string[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#routes.groups.flatMap(({ share }) =>
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
      holders: this.#routes.groups.flatMap(({ share }, group) =>
        share.isDelegated(nowMs) ? [{ group, holder: share.holder }] : []
      ),
      held: this.#holder.describe(),
      accounts: this.#accounts.describe(nowMs),
    };
  }

  override stop(): void {
    this.#isStopped = true;
    this.#stopTicks?.();
    this.#stopTicks = undefined;
    this.#accounts.refuseWaiting();
  }

  get #isRunning(): boolean {
    return this.#stopTicks !== undefined;
  }

  #use(group: number, nowMs: number): void {
    const state = this.#routes.groups[group];
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

  #tick(): void {
    const { clock, fleet } = this.#options;
    const nowMs = clock.monotonicMs();
    if (this.#isStopped) {
      return;
    }
    fleet.refresh();
    this.#holder.maintain();
    this.#accounts.forgetIdle(nowMs);
    const targets = new Map<string, FleetMember>();
    let isInUse = this.#accounts.size > 0;
    this.#routes.groups.forEach((state, group) => {
      const isWanted = this.#holder.isWanted(group);
      isInUse ||= isWanted || nowMs < state.usedUntilMs;
      if (isWanted && nowMs - state.invitedAtMs >= INVITE_INTERVAL_MS) {
        this.#invite(group);
      }
      if (isWanted || nowMs < state.usedUntilMs) {
        const route = this.#routes.find(group, nowMs);
        [route?.target, route?.delegate, route?.probed].forEach((member) =>
          member && targets.set(member.incarnation, member)
        );
      }
    });
    for (const target of targets.values()) {
      this.#exchange.sendIfDue(target, nowMs);
    }
    if (!isInUse) {
      this.#stopTicks?.();
      this.#stopTicks = undefined;
    }
  }

  /** Asks the daemons that have not delegated their shares, if this daemon is the holder that others choose too. */
  #invite(group: number): void {
    const { clock, fleet, messenger } = this.#options;
    const nowMs = clock.monotonicMs();
    const state = this.#routes.groups[group];
    if (!state) {
      return;
    }
    const first = this.#routes.findPreferred(group, nowMs);
    if (first && this.#routes.isSelf(first.incarnation)) {
      state.invitedAtMs = nowMs;
      this.#use(group, nowMs);
      const invitation = {
        kind: "invite" as const,
        sender: this.#routes.self.incarnation,
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
