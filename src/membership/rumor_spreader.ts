/**
 * Pushing of news to a few members of the own failure domain, who push it on.
 */

import { chooseSeveral, nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Members that each daemon pushes a rumor to. */
const FANOUT = 4;

/** Datagrams with rumors sent each second in the long run, and at most at once. */
const DATAGRAMS_PER_SECOND = 6;
const MAX_BURST_DATAGRAMS = 24;

const MS_PER_SECOND = 1_000;

/** Pushes rumors within a budget of datagrams. */
export class RumorSpreader {
  readonly #context: GossipContext;
  #budget = MAX_BURST_DATAGRAMS;

  constructor(context: GossipContext) {
    this.#context = context;
  }

  /** Adds the budget of some time. */
  refill(durationMs: number): void {
    this.#budget = Math.min(
      MAX_BURST_DATAGRAMS,
      this.#budget + DATAGRAMS_PER_SECOND * durationMs / MS_PER_SECOND,
    );
  }

  /** Chooses members of the own failure domain at random. */
  #chooseTargets(fanout: number): string[] {
    const { random, table } = this.#context;
    const others = table.listDomain(table.self.failureDomain).filter((
      { incarnation, state },
    ) => incarnation !== table.self.incarnation && state !== "suspect");
    return chooseSeveral(random, others, fanout).map(nameTarget);
  }

  /** Pushes rumors that were not pushed yet, while the budget lasts. */
  spread(fanout = FANOUT): void {
    const { link, rumors } = this.#context;
    while (rumors.freshCount > 0 && this.#budget >= fanout) {
      const targets = this.#chooseTargets(fanout);
      if (targets.length === 0) {
        return;
      }
      const records = takeWithinBytes(rumors.listFresh());
      for (const target of targets) {
        link.send(target, { kind: "push", sequence: 0, records });
      }
      this.#budget -= targets.length;
      rumors.markPushed(records);
    }
  }

  /** Tells a few members the configuration version, which every datagram carries. */
  announce(): void {
    for (const target of this.#chooseTargets(FANOUT)) {
      if (this.#budget < 1) {
        return;
      }
      this.#budget -= 1;
      this.#context.link.send(target, {
        kind: "push",
        sequence: 0,
        records: [],
      });
    }
  }
}
