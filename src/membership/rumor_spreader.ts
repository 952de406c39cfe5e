/**
 * Rate-limited pushing of rumors to random members of this daemon's failure
 * domain, which forward them.
 */

import { chooseSample, formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Number of members to which a daemon pushes each rumor. */
const FANOUT = 4;

/** Sustained rate of datagrams with rumors. */
const DATAGRAMS_PER_SECOND = 6;

/** Maximum number of datagrams with rumors sent in a burst. */
const MAX_BURST_DATAGRAMS = 24;

const MS_PER_SECOND = 1_000;

/** Pushes rumors, limiting the datagram rate with a token bucket. */
export class RumorSpreader {
  readonly #context: GossipContext;
  #datagramBudget = MAX_BURST_DATAGRAMS;

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Refills the datagram budget for an elapsed time. */
  refill(durationMs: number): void {
    this.#datagramBudget = Math.min(
      MAX_BURST_DATAGRAMS,
      this.#datagramBudget + DATAGRAMS_PER_SECOND * durationMs / MS_PER_SECOND,
    );
  }

  /** Chooses random members of this daemon's failure domain, excluding suspects. */
  #chooseTargets(fanout: number): string[] {
    const { random, table } = this.#context;
    const others = table.listDomain(table.self.failureDomain).filter((
      { incarnation, state },
    ) => incarnation !== table.self.incarnation && state !== "suspect");
    return chooseSample(random, others, fanout).map(formatGossipAddress);
  }

  /** Pushes pending rumors as far as the datagram budget allows. */
  spread(fanout = FANOUT): void {
    const { link, rumors } = this.#context;
    while (rumors.unpushedCount > 0 && this.#datagramBudget >= fanout) {
      const targets = this.#chooseTargets(fanout);
      if (targets.length === 0) {
        return;
      }
      const records = takeWithinBytes(rumors.listUnpushed());
      for (const target of targets) {
        link.send(target, { kind: "push", sequence: 0, records });
      }
      this.#datagramBudget -= targets.length;
      rumors.markPushed(records);
    }
  }

  /** Sends a few members an empty push, whose header carries the configuration version. */
  announceConfigurationVersion(): void {
    for (const target of this.#chooseTargets(FANOUT)) {
      if (this.#datagramBudget < 1) {
        return;
      }
      this.#datagramBudget -= 1;
      this.#context.link.send(target, {
        kind: "push",
        sequence: 0,
        records: [],
      });
    }
  }
}
