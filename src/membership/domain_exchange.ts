/**
 * What the delegates of a failure domain do for it: they keep in touch with
 * the other failure domains, pass on changes, and tell when a whole failure
 * domain cannot be reached.
 */

import type { MemberRecord } from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { chooseSeveral, nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import type { RemoteContacts } from "./remote_contacts.ts";
import { divideIntoDatagrams } from "./take_within_bytes.ts";

/** Failure domains probed by one delegate in each interval. */
const DOMAINS_PER_INTERVAL = 3;

/** Silence after which a failure domain may count as unreachable, in milliseconds. */
export const UNREACHABLE_AFTER_MS = 6_000;

/** Probes without an answer after which a failure domain may count as unreachable. */
const UNANSWERED_PROBES = 4;

/** Failure domains with an unanswered probe that are probed again at once, in each interval. */
const REPEATS_PER_INTERVAL = 2;

/** Changes that wait to be passed on. */
const MAX_OUTBOUND = 256;

const SEQUENCE_LIMIT = 0x8000_0000;

interface DomainContact {
  heardAtMs: number;
  unansweredProbes: number;
}

/** Keeps in touch with other failure domains while this daemon is a delegate. */
export class DomainExchange {
  readonly #context: GossipContext;
  readonly #contacts: RemoteContacts;
  readonly #domains = new Map<string, DomainContact>();
  readonly #outbound = new Map<string, MemberRecord>();
  #nextDomain = 0;
  #wasDelegate = false;

  constructor(context: GossipContext, contacts: RemoteContacts) {
    this.#context = context;
    this.#contacts = contacts;
  }

  /** Notes that a daemon of a failure domain was heard. */
  noteHeard(failureDomain: string): void {
    const contact = this.#domains.get(failureDomain);
    if (contact) {
      contact.heardAtMs = this.#context.clock.monotonicMs();
      contact.unansweredProbes = 0;
    }
  }

  /** Notes a change in the own failure domain that the others have to hear of. */
  noteChange(record: MemberRecord): void {
    const { isDelegate, table } = this.#context;
    const isOwn = record.failureDomain === table.self.failureDomain;
    if (!isOwn || record.state === "suspect" || !isDelegate()) {
      return;
    }
    this.#outbound.delete(record.incarnation);
    if (this.#outbound.size < MAX_OUTBOUND) {
      this.#outbound.set(record.incarnation, record);
    }
  }

  /** Passes changes on to one daemon of each other failure domain. */
  flush(): void {
    if (this.#outbound.size === 0) {
      return;
    }
    const parts = divideIntoDatagrams([...this.#outbound.values()]);
    this.#outbound.clear();
    for (const failureDomain of this.#listOthers()) {
      const target = this.#chooseTarget(failureDomain);
      for (const records of target ? parts : []) {
        this.#context.link.send(target ?? "", {
          kind: "push",
          sequence: 0,
          records,
        });
      }
    }
  }

  /** Tells one daemon of each other failure domain the configuration version, as a delegate. */
  announce(): void {
    const { isDelegate, link } = this.#context;
    for (const failureDomain of isDelegate() ? this.#listOthers() : []) {
      const target = this.#chooseTarget(failureDomain);
      if (target) {
        link.send(target, { kind: "push", sequence: 0, records: [] });
      }
    }
  }

  /** Probes the next failure domains and updates which of them are unreachable. */
  probeNext(): void {
    const { isDelegate, random, link } = this.#context;
    if (!isDelegate()) {
      this.#standDown();
      return;
    }
    this.#wasDelegate = true;
    const others = this.#listOthers();
    this.#updateUnreachable(others);
    for (const failureDomain of this.#chooseDomains(others)) {
      const target = this.#chooseTarget(failureDomain);
      if (target) {
        this.#findContact(failureDomain).unansweredProbes += 1;
        const sequence = random.nextInteger(SEQUENCE_LIMIT);
        link.send(target, { kind: "ping", sequence, records: [] });
      }
    }
  }

  /** Those with an unanswered probe first, so that a lost datagram is soon made good. */
  #chooseDomains(others: readonly string[]): ReadonlySet<string> {
    const doubtful = others.filter((failureDomain) => {
      const unanswered = this.#domains.get(failureDomain)?.unansweredProbes ??
        0;
      return unanswered > 0 && unanswered < UNANSWERED_PROBES;
    });
    const chosen = new Set(
      chooseSeveral(this.#context.random, doubtful, REPEATS_PER_INTERVAL),
    );
    const count = Math.min(DOMAINS_PER_INTERVAL, others.length);
    for (let tries = 0; chosen.size < count && tries < count; tries += 1) {
      chosen.add(others[this.#nextDomain % others.length] ?? "");
      this.#nextDomain += 1;
    }
    return chosen;
  }

  /** Starts to count silence anew, after this daemon itself was paused. */
  restart(): void {
    this.#domains.clear();
  }

  #updateUnreachable(others: readonly string[]): void {
    const { clock, journal, table } = this.#context;
    const nowMs = clock.monotonicMs();
    const unreachable = others.filter((failureDomain) => {
      const contact = this.#domains.get(failureDomain);
      return contact !== undefined &&
        contact.unansweredProbes >= UNANSWERED_PROBES &&
        nowMs - contact.heardAtMs >= UNREACHABLE_AFTER_MS;
    }).sort();
    const known = table.self.unreachableDomains ?? [];
    if (unreachable.join() !== known.join()) {
      table.changeSelf({ unreachableDomains: unreachable });
      journal?.record(DECISIONS.membershipChange, {
        change: "unreachable-domains",
        domains: unreachable.join(),
      });
    }
  }

  #standDown(): void {
    if (!this.#wasDelegate) {
      return;
    }
    this.#wasDelegate = false;
    this.#domains.clear();
    this.#outbound.clear();
    if ((this.#context.table.self.unreachableDomains ?? []).length > 0) {
      this.#context.table.changeSelf({ unreachableDomains: [] });
    }
  }

  #findContact(failureDomain: string): DomainContact {
    const known = this.#domains.get(failureDomain);
    if (known) {
      return known;
    }
    const heardAtMs = this.#context.clock.monotonicMs();
    const contact = { heardAtMs, unansweredProbes: 0 };
    this.#domains.set(failureDomain, contact);
    return contact;
  }

  #listOthers(): string[] {
    const { configuration, table } = this.#context;
    const configured = configuration.current?.regionByFailureDomain.keys() ??
      [];
    const names = new Set([
      ...this.#contacts.domains,
      ...table.listDomains(),
      ...configured,
    ]);
    names.delete(table.self.failureDomain);
    return [...names].sort();
  }

  #chooseTarget(failureDomain: string): string | undefined {
    const { random, table } = this.#context;
    const delegates = chooseDelegates(table.listDomain(failureDomain));
    const unanswered = this.#domains.get(failureDomain)?.unansweredProbes ?? 0;
    const known = random.choose(delegates);
    const contact = random.choose(this.#contacts.list(failureDomain));
    const isAlternate = unanswered % 2 === 1;
    return isAlternate || !known
      ? contact ?? (known && nameTarget(known))
      : nameTarget(known);
  }
}
