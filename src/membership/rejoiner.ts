/**
 * Joining the fleet, and reconnecting with members that were declared dead.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { readDeparture } from "./departure_record.ts";
import { hashText } from "../hashing/mod.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { chooseSample, formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Mean interval between attempts to reach a lost member, in milliseconds. */
const REJOIN_INTERVAL_MS = 5_000;

/** Number of random members sent to a joining daemon of the same failure domain. */
const JOIN_SAMPLE_SIZE = 4;

/** Number of the latest departures of a joining daemon's backend servers that are sent to it. */
const MAX_DEPARTURES = 2;

/** Number of members of the failure domain that a started daemon joins one after the other, in case that a reply gets lost or its sender does not know of a departure. */
const INTRODUCTIONS = 6;

/** Handles joins, and contacts dead members whose address no other member has taken over. */
export class Rejoiner {
  readonly #context: GossipContext;
  #nextRejoinAtMs = 0;
  #introductionsLeft = INTRODUCTIONS;

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Sends a join message with this daemon's record to an address. */
  join(address: string): void {
    const { link, table } = this.#context;
    if (address !== formatGossipAddress(table.self)) {
      link.send(address, {
        kind: "join",
        sequence: 0,
        records: takeWithinBytes([
          table.self,
          ...this.#listDepartures(address),
        ]),
      });
    }
  }

  /** Sends a join message to another member each time, the first few times after the start. */
  introduceAfterStart(): void {
    const { table } = this.#context;
    const { failureDomain, incarnation } = table.self;
    const others = table.listDomain(failureDomain).filter((member) =>
      member.incarnation !== incarnation
    );
    const index = hashText(incarnation) + this.#introductionsLeft;
    const member = others[index % others.length];
    if (member && this.#introductionsLeft > 0) {
      this.#introductionsLeft -= 1;
      this.join(formatGossipAddress(member));
    }
  }

  /** Responds to a join message with a selection of members. */
  handleJoin(message: GossipMessage, source: string): void {
    const { link, random, table } = this.#context;
    const domainMembers = table.listDomain(table.self.failureDomain);
    const isSameDomain = message.failureDomain === table.self.failureDomain;
    const sample = isSameDomain
      ? chooseSample(random, domainMembers, JOIN_SAMPLE_SIZE)
      : [];
    const remote = table.listDomains()
      .filter((domain) =>
        domain !== table.self.failureDomain &&
        domain !== message.failureDomain
      )
      .flatMap((domain) => random.choose(table.listDomain(domain)) ?? []);
    const selected = new Set<MemberRecord>([
      table.self,
      ...this.#listDepartures(source),
      ...chooseDelegates(domainMembers),
      ...sample,
      ...remote,
    ]);
    const records = takeWithinBytes(
      [...selected].filter(({ incarnation }) => incarnation !== message.sender),
    );
    link.send(source, { kind: "push", sequence: 0, isReply: true, records });
  }

  /** Sends a join message to an unknown daemon of the same failure domain that probed this one. */
  introduceToUnknownSender(message: GossipMessage, source: string): void {
    const { table } = this.#context;
    const isSameDomain = message.failureDomain === table.self.failureDomain;
    if (isSameDomain && !table.get(message.sender)) {
      this.join(source);
    }
  }

  /**
   * Periodically sends a join message to a random lost member. If it is
   * running, it refutes its death.
   */
  rejoinLostMember(): void {
    const { clock, random, table } = this.#context;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.#nextRejoinAtMs) {
      return;
    }
    this.#nextRejoinAtMs = nowMs +
      REJOIN_INTERVAL_MS * (0.5 + random.nextFloat());
    const addresses = new Set(
      table.listDomain(table.self.failureDomain).map(formatGossipAddress),
    );
    const lost = table.listDead().filter((record) =>
      record.failureDomain === table.self.failureDomain &&
      readDeparture(record) === undefined &&
      !addresses.has(formatGossipAddress(record))
    );
    const lostMember = random.choose(lost);
    if (lostMember) {
      const address = formatGossipAddress(lostMember);
      this.#context.link.send(address, {
        kind: "join",
        sequence: 0,
        records: takeWithinBytes([
          table.self,
          lostMember,
          ...this.#listDepartures(address),
        ]),
      });
    }
  }

  /** Lists the latest departures of the backend servers beside the daemon at an address. */
  #listDepartures(address: string): MemberRecord[] {
    return this.#context.table.listDead().filter((record) =>
      formatGossipAddress(record) === address &&
      readDeparture(record) !== undefined
    ).slice(-MAX_DEPARTURES);
  }
}
