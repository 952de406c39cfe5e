/**
 * Which holder is asked for the tokens of each account group, and which one gets
 * this daemon's share.
 */

import type { AllowanceFleet, FleetMember } from "./allowance_fleet.ts";
import { GROUP_COUNT } from "./choose_group.ts";
import { HolderContacts } from "./holder_contacts.ts";
import { OwnShare } from "./own_share.ts";
import { rankHolders } from "./rank_holders.ts";

/** Share, use and holders of one account group. */
export interface GroupState {
  readonly share: OwnShare;
  usedUntilMs: number;
  invitedAtMs: number;
  ranking: readonly FleetMember[];
}

/** Holder that is asked for tokens, and the one to which the share may be delegated now. */
export interface Route {
  readonly target: FleetMember;
  readonly delegate: FleetMember | undefined;
  /** A preferred holder that has to reply before it gets the share. */
  readonly probed: FleetMember | undefined;
}

/** Dependencies of the routes. */
export interface GroupRoutesOptions {
  readonly fleet: AllowanceFleet;
  /** When the process started, in monotonic milliseconds. */
  readonly startedAtMs: number;
  /** Called when this daemon stops being the holder of its own share of a group. */
  readonly revokeOwn: (group: number) => void;
}

/** Chooses the holders of the groups. */
export class GroupRoutes {
  readonly #options: GroupRoutesOptions;
  /** This daemon as a holder. */
  readonly self: FleetMember;
  readonly contacts = new HolderContacts();
  readonly groups: readonly GroupState[];
  #candidates: readonly FleetMember[] = [];

  constructor(options: GroupRoutesOptions) {
    this.#options = options;
    const { fleet, startedAtMs } = options;
    this.self = { incarnation: fleet.self, address: "", peerPort: 0 };
    this.groups = Array.from({ length: GROUP_COUNT }, () => ({
      share: new OwnShare(startedAtMs),
      usedUntilMs: Number.NEGATIVE_INFINITY,
      invitedAtMs: Number.NEGATIVE_INFINITY,
      ranking: [],
    }));
  }

  /** Decides where tokens are borrowed and where the share goes; undefined until the fleet is known. */
  find(group: number, nowMs: number): Route | undefined {
    const state = this.groups[group];
    if (!state || this.#options.fleet.memberCount === 0) {
      return undefined;
    }
    const { share } = state;
    const preferred = this.findPreferred(group, nowMs) ?? this.self;
    const isProven = this.isSelf(preferred.incarnation) ||
      this.contacts.isProven(preferred.incarnation, nowMs);
    const probed = isProven ? undefined : preferred;
    if (
      isProven && share.holder !== preferred.incarnation &&
      this.isSelf(share.holder) && share.isDelegated(nowMs)
    ) {
      this.#options.revokeOwn(group);
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

  /** Returns the first holder in the ranking of a group that can be asked. */
  findPreferred(group: number, nowMs: number): FleetMember | undefined {
    return this.#rank(group).find(({ incarnation }) =>
      this.isSelf(incarnation) || this.contacts.isUsable(incarnation, nowMs)
    );
  }

  /** Tells for each group whether its tokens are borrowed from `target`. */
  listTargeted(target: FleetMember, nowMs: number): boolean[] {
    return this.groups.map((_, group) =>
      this.find(group, nowMs)?.target.incarnation === target.incarnation
    );
  }

  /** Whether a holder is this daemon. */
  isSelf(incarnation: string): boolean {
    return incarnation === this.self.incarnation;
  }

  /** Returns the holder that has the share now, if it can be asked. */
  #findCurrent({ share, ranking }: GroupState, nowMs: number) {
    if (!share.isDelegated(nowMs)) {
      return undefined;
    }
    const { holder } = share;
    if (this.isSelf(holder)) {
      return this.self;
    }
    return this.contacts.isUsable(holder, nowMs)
      ? ranking.find(({ incarnation }) => incarnation === holder)
      : undefined;
  }

  #rank(group: number): readonly FleetMember[] {
    const candidates = this.#options.fleet.listCandidates();
    if (candidates !== this.#candidates) {
      this.#candidates = candidates;
      this.groups.forEach((other, index) =>
        other.ranking = rankHolders(candidates, index)
      );
    }
    return this.groups[group]?.ranking ?? [];
  }
}
