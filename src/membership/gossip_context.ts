/**
 * What the parts of the membership share.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import type { DecisionJournal, Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import type { GossipLink } from "./gossip_link.ts";
import type { MemberTable } from "./member_table.ts";
import type { RumorQueue } from "./rumor_queue.ts";

/** Parts that the protocols of one daemon work on. */
export interface GossipContext {
  readonly table: MemberTable;
  readonly link: GossipLink;
  readonly rumors: RumorQueue;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ConfigurationHolder;
  readonly log: Logger;
  readonly journal: DecisionJournal | undefined;
  /** Whether this daemon speaks for its failure domain now. */
  readonly isDelegate: () => boolean;
}

/**
 * Names where a member receives datagrams.
 *
 * @param member - Its record
 * @returns Address and port
 *
 * @example
 * link.send(nameTarget(member), message);
 */
export function nameTarget(
  { address, peerPort }: Pick<MemberRecord, "address" | "peerPort">,
): string {
  return `${address}:${peerPort}`;
}

/**
 * Chooses several different items.
 *
 * @param random - Source of random numbers
 * @param items - What to choose from
 * @param count - How many to choose at most
 * @returns The chosen items
 *
 * @example
 * chooseSeveral(random, members, 3).forEach(probe);
 */
export function chooseSeveral<T>(
  random: RandomSource,
  items: readonly T[],
  count: number,
): T[] {
  const rest = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && rest.length > 0) {
    chosen.push(...rest.splice(random.nextInteger(rest.length), 1));
  }
  return chosen;
}
