/**
 * Joining, and finding back members that were lost.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { chooseSeveral, nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Interval at which a lost member is greeted, in milliseconds. */
const GREET_INTERVAL_MS = 5_000;

/** Members named to one who joins. */
const MEMBERS_NAMED = 4;

/** Greets members that count as dead but did not say so themselves. */
export class Rejoiner {
  readonly #context: GossipContext;
  #nextGreetingAtMs = 0;

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Introduces this daemon to the one at an address. */
  join(address: string): void {
    const { link, table } = this.#context;
    if (address !== nameTarget(table.self)) {
      link.send(address, {
        kind: "join",
        sequence: 0,
        records: [table.self],
      });
    }
  }

  /** Names members to a daemon that joins. */
  handleJoin(message: GossipMessage, source: string): void {
    const { link, random, table } = this.#context;
    const own = table.listDomain(table.self.failureDomain);
    const isNeighbor = message.failureDomain === table.self.failureDomain;
    const sample = isNeighbor ? chooseSeveral(random, own, MEMBERS_NAMED) : [];
    const remote = table.listDomains()
      .filter((domain) =>
        domain !== table.self.failureDomain &&
        domain !== message.failureDomain
      )
      .flatMap((domain) => random.choose(table.listDomain(domain)) ?? []);
    const named = new Set<MemberRecord>([
      table.self,
      ...chooseDelegates(own),
      ...sample,
      ...remote,
    ]);
    const records = takeWithinBytes(
      [...named].filter(({ incarnation }) => incarnation !== message.sender),
    );
    link.send(source, { kind: "push", sequence: 0, isReply: true, records });
  }

  /** Introduces this daemon to one that probes it though it is not known. */
  greetStranger(message: GossipMessage, source: string): void {
    const { table } = this.#context;
    const isNeighbor = message.failureDomain === table.self.failureDomain;
    if (isNeighbor && !table.get(message.sender)) {
      this.join(source);
    }
  }

  /** Greets one lost member now and then; if it lives, it refutes its death. */
  tick(): void {
    const { clock, random, table } = this.#context;
    const nowMs = clock.monotonicMs();
    if (nowMs < this.#nextGreetingAtMs) {
      return;
    }
    this.#nextGreetingAtMs = nowMs +
      GREET_INTERVAL_MS * (0.5 + random.nextFloat());
    const addresses = new Set(
      table.listDomain(table.self.failureDomain).map(nameTarget),
    );
    const lost = table.listDead().filter((record) =>
      record.failureDomain === table.self.failureDomain &&
      !addresses.has(nameTarget(record))
    );
    const choice = random.choose(lost);
    if (choice) {
      this.#context.link.send(nameTarget(choice), {
        kind: "join",
        sequence: 0,
        records: takeWithinBytes([table.self, choice]),
      });
    }
  }
}
