/**
 * Dependencies shared by the gossip protocols of one daemon.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { GossipLink } from "./gossip_link.ts";
import type { MemberTable } from "./member_table.ts";
import type { RumorQueue } from "./rumor_queue.ts";

/** Shared state and services of the gossip protocols. */
export interface GossipContext {
  readonly table: MemberTable;
  readonly link: GossipLink;
  readonly rumors: RumorQueue;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ConfigurationHolder;
  readonly log: Logger;
  readonly journal: DecisionJournal | undefined;
  /** Whether this daemon is currently a delegate of its failure domain. */
  readonly isDelegate: () => boolean;
}

/**
 * Formats the address at which a member receives datagrams.
 *
 * @param member - Record of the member
 * @returns Text of the form `address:port`
 *
 * @example
 * link.send(formatGossipAddress(member), message);
 */
export function formatGossipAddress(
  { address, peerPort }: Pick<MemberRecord, "address" | "peerPort">,
): string {
  return `${address}:${peerPort}`;
}

/**
 * Draws a random sample without replacement.
 *
 * @param random - Random number generator
 * @param items - Items to draw from
 * @param count - Maximum size of the sample
 * @returns The sampled items, in random order
 *
 * @example
 * chooseSample(random, members, 3).forEach(probe);
 */
export function chooseSample<T>(
  random: RandomSource,
  items: readonly T[],
  count: number,
): T[] {
  const remaining = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0) {
    chosen.push(...remaining.splice(random.nextInteger(remaining.length), 1));
  }
  return chosen;
}
