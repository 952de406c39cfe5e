/**
 * Messages to the holders: what each one tells, when it is sent, and what its
 * reply changes.
 */

import type { Clock } from "../time/mod.ts";
import type {
  AllowanceFleet,
  AllowanceMessenger,
  FleetMember,
} from "./allowance_fleet.ts";
import type { AllowanceHolder } from "./allowance_holder.ts";
import type {
  AccountDemand,
  AllowanceMessage,
  AllowanceReply,
  DelegatedShare,
} from "./allowance_message.ts";
import type { BorrowerAccounts } from "./borrower_accounts.ts";
import { TOKEN_LIFETIME_MS } from "./borrowed_tokens.ts";
import type { GroupRoutes } from "./group_routes.ts";
import { HolderChannels } from "./holder_channels.ts";
import { DELEGATION_MS } from "./own_share.ts";

/** Maximum number of accounts in one message; those with waiting requests go first. */
const MAX_DEMANDS = 256;

/** Dependencies of the exchange. */
export interface HolderExchangeOptions {
  readonly clock: Clock;
  readonly fleet: AllowanceFleet;
  readonly messenger: AllowanceMessenger;
  /** This daemon's own holder, which gets its messages without the network. */
  readonly holder: AllowanceHolder;
  readonly routes: GroupRoutes;
  readonly accounts: BorrowerAccounts;
  /** Called for each group for which a holder wants this daemon's share. */
  readonly use: (group: number, nowMs: number) => void;
}

/** Delegates shares to holders, and borrows tokens from them. */
export class HolderExchange {
  readonly #options: HolderExchangeOptions;
  readonly #channels = new HolderChannels();
  #sequence = 0;

  constructor(options: HolderExchangeOptions) {
    this.#options = options;
  }

  /** Asks the holder of a group for the tokens that requests wait for, unless it is already asked. */
  ask(group: number): void {
    const { clock, routes } = this.#options;
    const nowMs = clock.monotonicMs();
    const route = routes.find(group, nowMs);
    if (route && this.#channels.get(route.target.incarnation).canAsk(nowMs)) {
      this.#send(route.target, nowMs);
    }
  }

  /** Sends a holder the next message if one is due. */
  sendIfDue(target: FleetMember, nowMs: number): void {
    const channel = this.#channels.get(target.incarnation);
    const hasRequests = this.#options.accounts.size > 0;
    if (channel.isDue(nowMs, hasRequests) || this.#mustAsk(target, nowMs)) {
      this.#send(target, nowMs);
    }
  }

  /** Whether requests wait for a holder that could be asked again, or expired tokens can be returned to it. */
  #mustAsk(target: FleetMember, nowMs: number): boolean {
    const channel = this.#channels.get(target.incarnation);
    if (!channel.canAsk(nowMs)) {
      return false;
    }
    const { accounts, routes } = this.#options;
    const isPatient = channel.canAskPatiently(nowMs);
    const isTarget = routes.listTargeted(target, nowMs);
    for (const entry of accounts.values()) {
      const mustAsk = entry.waiting.size > 0 &&
        (isPatient || entry.isPrompt(nowMs));
      if (isTarget[entry.group] && (mustAsk || entry.tokens.hasUnused(nowMs))) {
        return true;
      }
    }
    return false;
  }

  #send(target: FleetMember, nowMs: number): void {
    const { clock, messenger, holder, routes } = this.#options;
    const channel = this.#channels.get(target.incarnation);
    channel.begin(nowMs);
    this.#sequence += 1;
    const message: AllowanceMessage = {
      kind: "update",
      sender: routes.self.incarnation,
      sequence: this.#sequence,
      shares: this.#delegateShares(target, nowMs),
      demands: this.#listDemands(target, nowMs),
    };
    const validUntilMs = nowMs + DELEGATION_MS;
    const replied = routes.isSelf(target.incarnation)
      ? holder.receive(message, validUntilMs - clock.monotonicMs())
      : messenger.update(target, message, { validUntilMs });
    void replied.then((reply) => {
      channel.end();
      this.#handleReply(target, reply, nowMs);
    });
  }

  #delegateShares(target: FleetMember, nowMs: number): DelegatedShare[] {
    const { fleet, holder, routes } = this.#options;
    const { memberCount } = fleet;
    return routes.groups.flatMap((state, group) => {
      const isInUse = nowMs < state.usedUntilMs || holder.isWanted(group);
      const route = isInUse ? routes.find(group, nowMs) : undefined;
      if (route?.delegate?.incarnation !== target.incarnation) {
        return [];
      }
      const unusedMs = state.share.getUnusedMs(nowMs);
      state.share.delegate(target.incarnation, nowMs);
      return [{ group, memberCount, unusedMs: Math.round(unusedMs) }];
    });
  }

  #listDemands(target: FleetMember, nowMs: number): AccountDemand[] {
    const { accounts, routes } = this.#options;
    const isTarget = routes.listTargeted(target, nowMs);
    const entries = [...accounts.values()].filter(({ group }) =>
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
    const { clock, routes, accounts, use } = this.#options;
    const nowMs = clock.monotonicMs();
    if (!reply) {
      routes.contacts.recordFailure(incarnation, nowMs);
      return;
    }
    routes.contacts.recordReply(incarnation, nowMs);
    reply.wantedGroups.forEach((group) => use(group, nowMs));
    const token = {
      holder: incarnation,
      expiresAtMs: sentAtMs + TOKEN_LIFETIME_MS,
    };
    const asked = new Set<number>();
    for (const loan of reply.loans) {
      const entry = accounts.get(loan.name);
      entry?.receive(loan, token, nowMs);
      if (entry && entry.waiting.size > 0 && entry.isPrompt(nowMs)) {
        asked.add(entry.group);
      }
    }
    asked.forEach((group) => this.ask(group));
  }
}
