/**
 * Joining the fleet, and reconnecting with members that were declared dead.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { chooseSample, formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Mean interval between attempts to reach a lost member, in milliseconds. */
const REJOIN_INTERVAL_MS = 5_000;

/** Number of random members sent to a joining daemon of the same failure domain. */
const JOIN_SAMPLE_SIZE = 4;

/** Handles joins, and contacts dead members whose address no other member has taken over. */
export class Rejoiner {
  readonly #context: GossipContext;
  #nextRejoinAtMs = 0;

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
        records: [table.self],
      });
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
      !addresses.has(formatGossipAddress(record))
    );
    const lostMember = random.choose(lost);
    if (lostMember) {
      this.#context.link.send(formatGossipAddress(lostMember), {
        kind: "join",
        sequence: 0,
        records: takeWithinBytes([table.self, lostMember]),
      });
    }
  }
}
