/**
 * Tasks that the delegates of a failure domain perform on its behalf: they probe
 * the other failure domains, forward record changes to them, and report failure
 * domains that cannot be reached.
 */

import type { MemberRecord } from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { chooseSample, formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { isCopy } from "./notice_record.ts";
import type { RemoteContacts } from "./remote_contacts.ts";
import { divideIntoDatagrams } from "./take_within_bytes.ts";

/** Failure domains that a delegate probes per interval. */
const DOMAINS_PER_INTERVAL = 3;

/**
 * Minimum time without a message before a failure domain is considered
 * unreachable, in milliseconds.
 */
export const UNREACHABLE_AFTER_MS = 6_000;

/** Minimum number of unanswered probes before a failure domain is considered unreachable. */
const MIN_UNANSWERED_PROBES = 4;

/**
 * Maximum number of failure domains with an unanswered probe that are probed
 * again per interval.
 */
const RETRIES_PER_INTERVAL = 2;

/** Maximum number of changed records waiting to be forwarded. */
const MAX_PENDING_RECORDS = 256;

/** Exclusive upper bound of sequence numbers. */
const SEQUENCE_RANGE = 0x8000_0000;

/** Probe results of another failure domain. */
interface DomainStatus {
  lastHeardAtMs: number;
  unansweredProbes: number;
}

/**
 * Exchanges probes and record changes with other failure domains while this
 * daemon is a delegate.
 */
export class CrossDomainGossip {
  readonly #context: GossipContext;
  readonly #contacts: RemoteContacts;
  readonly #statusByDomain = new Map<string, DomainStatus>();
  readonly #pending = new Map<string, MemberRecord>();
  #nextDomainIndex = 0;
  #wasDelegate = false;

  constructor(context: GossipContext, contacts: RemoteContacts) {
    this.#context = context;
    this.#contacts = contacts;
  }

  /** Records that a message from a failure domain was received. */
  recordActivity(failureDomain: string): void {
    const status = this.#statusByDomain.get(failureDomain);
    if (status) {
      status.lastHeardAtMs = this.#context.clock.monotonicMs();
      status.unansweredProbes = 0;
    }
  }

  /**
   * Queues a change in this daemon's failure domain for the other failure
   * domains, if this daemon is a delegate. Suspicions and copies of notices are
   * not forwarded.
   */
  handleChange(record: MemberRecord): void {
    const { isDelegate, table } = this.#context;
    const isLocal = record.failureDomain === table.self.failureDomain;
    const isForwarded = isLocal && record.state !== "suspect" &&
      !isCopy(record);
    if (!isForwarded || !isDelegate()) {
      return;
    }
    this.#pending.delete(record.incarnation);
    if (this.#pending.size < MAX_PENDING_RECORDS) {
      this.#pending.set(record.incarnation, record);
    }
  }

  /** Forwards the queued changes to one daemon in each other failure domain. */
  flush(): void {
    if (this.#pending.size === 0) {
      return;
    }
    const batches = divideIntoDatagrams([...this.#pending.values()]);
    this.#pending.clear();
    for (const failureDomain of this.#listOtherDomains()) {
      const target = this.#chooseTarget(failureDomain);
      for (const records of target ? batches : []) {
        this.#context.link.send(target ?? "", {
          kind: "push",
          sequence: 0,
          records,
        });
      }
    }
  }

  /**
   * Sends the configuration version to one daemon in each other failure domain,
   * if this daemon is a delegate.
   */
  announceConfigurationVersion(): void {
    const { isDelegate, link } = this.#context;
    for (const failureDomain of isDelegate() ? this.#listOtherDomains() : []) {
      const target = this.#chooseTarget(failureDomain);
      if (target) {
        link.send(target, { kind: "push", sequence: 0, records: [] });
      }
    }
  }

  /** Probes the next failure domains and updates the set of unreachable ones. */
  probeNext(): void {
    const { isDelegate, random, link } = this.#context;
    if (!isDelegate()) {
      this.#clearDelegateState();
      return;
    }
    this.#wasDelegate = true;
    const others = this.#listOtherDomains();
    this.#updateUnreachable(others);
    for (const failureDomain of this.#chooseDomainsToProbe(others)) {
      const target = this.#chooseTarget(failureDomain);
      if (target) {
        this.#getOrCreateStatus(failureDomain).unansweredProbes += 1;
        const sequence = random.nextInteger(SEQUENCE_RANGE);
        link.send(target, { kind: "ping", sequence, records: [] });
      }
    }
  }

  /** Prefers failure domains with an unanswered probe, to recover quickly from a lost datagram. */
  #chooseDomainsToProbe(others: readonly string[]): ReadonlySet<string> {
    const unconfirmed = others.filter((failureDomain) => {
      const unanswered =
        this.#statusByDomain.get(failureDomain)?.unansweredProbes ??
          0;
      return unanswered > 0 && unanswered < MIN_UNANSWERED_PROBES;
    });
    const chosen = new Set(
      chooseSample(this.#context.random, unconfirmed, RETRIES_PER_INTERVAL),
    );
    const count = Math.min(DOMAINS_PER_INTERVAL, others.length);
    for (let tries = 0; chosen.size < count && tries < count; tries += 1) {
      chosen.add(others[this.#nextDomainIndex % others.length] ?? "");
      this.#nextDomainIndex += 1;
    }
    return chosen;
  }

  /** Discards all probe results, for example after this daemon was paused. */
  reset(): void {
    this.#statusByDomain.clear();
  }

  #updateUnreachable(others: readonly string[]): void {
    const { clock, journal, table } = this.#context;
    const nowMs = clock.monotonicMs();
    const unreachable = others.filter((failureDomain) => {
      const status = this.#statusByDomain.get(failureDomain);
      return status !== undefined &&
        status.unansweredProbes >= MIN_UNANSWERED_PROBES &&
        nowMs - status.lastHeardAtMs >= UNREACHABLE_AFTER_MS;
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

  #clearDelegateState(): void {
    if (!this.#wasDelegate) {
      return;
    }
    this.#wasDelegate = false;
    this.#statusByDomain.clear();
    this.#pending.clear();
    if ((this.#context.table.self.unreachableDomains ?? []).length > 0) {
      this.#context.table.changeSelf({ unreachableDomains: [] });
    }
  }

  #getOrCreateStatus(failureDomain: string): DomainStatus {
    const known = this.#statusByDomain.get(failureDomain);
    if (known) {
      return known;
    }
    const lastHeardAtMs = this.#context.clock.monotonicMs();
    const status = { lastHeardAtMs, unansweredProbes: 0 };
    this.#statusByDomain.set(failureDomain, status);
    return status;
  }

  #listOtherDomains(): string[] {
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
    const unanswered =
      this.#statusByDomain.get(failureDomain)?.unansweredProbes ?? 0;
    const delegate = random.choose(delegates);
    const contact = random.choose(this.#contacts.list(failureDomain));
    const isAlternate = unanswered % 2 === 1;
    return isAlternate || !delegate
      ? contact ?? (delegate && formatGossipAddress(delegate))
      : formatGossipAddress(delegate);
  }
}
