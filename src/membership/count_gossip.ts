/**
 * Exchange of request counts by gossip: members report to the collector of their
 * failure domain, collectors exchange the sums of their failure domains, and each
 * returns the sum of the fleet to its members.
 *
 * The first delegate of a failure domain is its collector. Nothing is sent while
 * all requests are served.
 */

import type { CountExchange, CountsByKind } from "../admission/mod.ts";
import type {
  GossipMessage,
  KindCounts,
  MemberRecord,
} from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";

/** Interval at which a daemon sends counts, in milliseconds. */
const REPORT_INTERVAL_MS = 250;

/** Number of members above which a collector answers less often, so that its work per second does not grow. */
const MEMBERS_PER_INTERVAL = 64;

/** Factor by which counts are rounded on the wire. */
const PRECISION = 100;

/** Sends and receives the counts of one daemon. */
export class CountGossip {
  readonly #context: GossipContext;
  readonly #exchange: CountExchange;
  #nextReportAtMs = 0;

  constructor(context: GossipContext, exchange: CountExchange) {
    this.#context = context;
    this.#exchange = exchange;
  }

  /** Sends what is due, if counts are exchanged now. */
  tick(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (!this.#exchange.isActive || nowMs < this.#nextReportAtMs) {
      return;
    }
    const { table } = this.#context;
    const members = table.listDomain(table.self.failureDomain);
    const size = Math.ceil(members.length / MEMBERS_PER_INTERVAL);
    this.#nextReportAtMs = nowMs + REPORT_INTERVAL_MS * size;
    const [collector] = chooseDelegates(members);
    if (!collector) {
      return;
    }
    if (collector.incarnation !== table.self.incarnation) {
      this.#send(
        formatGossipAddress(collector),
        "member",
        this.#exchange.createReport(),
      );
      return;
    }
    this.#answerMembers(members);
    this.#sendDomainSum();
  }

  /** Records the counts in a received message. */
  handle(message: GossipMessage): void {
    const counts = decodeCounts(message.counts ?? []);
    switch (message.coverage) {
      case "member":
        this.#exchange.recordReport(message.sender, counts);
        break;
      case "domain":
        this.#exchange.recordDomainSum(message.failureDomain, counts);
        break;
      case "fleet":
        this.#exchange.recordFleetSum(counts);
    }
  }

  #answerMembers(members: readonly MemberRecord[]): void {
    const sum = this.#exchange.createFleetSum();
    for (const member of members) {
      const isOther =
        member.incarnation !== this.#context.table.self.incarnation;
      if (isOther && member.state === "alive") {
        this.#send(formatGossipAddress(member), "fleet", sum);
      }
    }
  }

  /** Sends the sum to the collector of each other failure domain. */
  #sendDomainSum(): void {
    const { configuration, table } = this.#context;
    const sum = this.#exchange.createDomainSum();
    const domains = configuration.current?.regionByFailureDomain.keys() ?? [];
    for (const failureDomain of domains) {
      if (failureDomain === table.self.failureDomain) {
        continue;
      }
      const [collector] = chooseDelegates(table.listDomain(failureDomain));
      if (collector) {
        this.#send(formatGossipAddress(collector), "domain", sum);
      }
    }
  }

  #send(
    target: string,
    coverage: NonNullable<GossipMessage["coverage"]>,
    counts: CountsByKind,
  ): void {
    this.#context.link.send(target, {
      kind: "counts",
      sequence: 0,
      records: [],
      coverage,
      counts: encodeCounts(counts),
    });
  }
}

function encodeCounts(counts: CountsByKind): KindCounts[] {
  const round = (value: number) => Math.round(value * PRECISION) / PRECISION;
  return [...counts].map(([name, each]) => ({
    name,
    requests: round(each.requests),
    served: round(each.served),
    inProgress: round(each.inProgress),
    recentlyEnded: round(each.recentlyEnded),
    recentlyServed: round(each.recentlyServed),
  }));
}

function decodeCounts(counts: readonly KindCounts[]): CountsByKind {
  return new Map(counts.map(({ name, ...each }) => [name, each]));
}
