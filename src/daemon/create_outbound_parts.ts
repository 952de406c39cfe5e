/**
 * The parts of a daemon that decide about calls it sends to others.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { DaemonSettings, MemberRecord } from "../generated/types.ts";
import type { ConnectionReplacement } from "../peer/mod.ts";
import {
  AllowanceRetryPolicy,
  CallJoiner,
  DEFAULT_EDGE_BOUNDS,
  MAX_JOINABLE_CALLS,
  PerHopRetryPolicy,
  RetryBudget,
  shareRetrySlack,
} from "../retry/mod.ts";
import type { RetryPolicy } from "../retry/mod.ts";
import {
  AdaptiveChooser,
  countRegionDaemons,
  LinkBudget,
  RandomChooser,
} from "../routing/mod.ts";
import type { InstanceChooser } from "../routing/mod.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";

const BITS_PER_BYTE = 8;

/** Share of the region link given out to daemons; the rest is for gossip and framing. */
const PLANNED_LINK_RATIO = 0.9;

/** Dependencies of the parts. */
export interface OutboundPartsOptions {
  readonly settings: DaemonSettings;
  readonly self: MemberRecord;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  readonly configuration: ConfigurationHolder;
  readonly routing: "adaptive" | "random";
}

/** Choice of instances, retries and joining of duplicates. */
export interface OutboundParts {
  readonly chooser: InstanceChooser;
  readonly retryPolicy: RetryPolicy;
  readonly joiner: CallJoiner;
  /** Records that a silent connection is replaced. */
  reportReplacement(replacement: ConnectionReplacement): void;
  /** Adapts the parts to the members that are known; called at intervals. */
  maintain(members: readonly MemberRecord[]): void;
}

/**
 * Creates the parts, or those of the baseline where protection is off.
 *
 * @param options - Dependencies
 * @returns The parts
 *
 * @example
 * const outbound = createOutboundParts({ settings, self, clock, random, journal, configuration });
 */
export function createOutboundParts(
  options: OutboundPartsOptions,
): OutboundParts {
  const { journal, metrics } = options;
  const reportReplacement = (replacement: ConnectionReplacement) => {
    metrics.replacedConnections.inc();
    journal.record(DECISIONS.connectionReplaced, { ...replacement });
  };
  if (options.settings.protection === "off") {
    return {
      reportReplacement,
      chooser: new RandomChooser(options.random),
      retryPolicy: new PerHopRetryPolicy(),
      joiner: new CallJoiner(0),
      maintain: () => undefined,
    };
  }
  const { clock, random, self, configuration } = options;
  const linkBudget = new LinkBudget(clock);
  const chooser = new AdaptiveChooser({
    clock,
    random,
    locality: self,
    linkBudget,
    reportOutlier: (kind, facts) => {
      metrics.outlierDecisions.inc({ decision: kind });
      journal.record(kind, facts);
    },
  });
  const readRetryRatio = () => configuration.current?.document.retryRatio ?? 0;
  let knownDaemons = 1;
  const readEdgeBounds = () => {
    const retrySlack = configuration.current?.document.retrySlack;
    return retrySlack === undefined
      ? DEFAULT_EDGE_BOUNDS
      : shareRetrySlack(retrySlack, knownDaemons);
  };
  return {
    reportReplacement,
    chooser: options.routing === "random" ? new RandomChooser(random) : chooser,
    retryPolicy: new AllowanceRetryPolicy(
      new RetryBudget(clock, readRetryRatio, readEdgeBounds),
    ),
    joiner: new CallJoiner(MAX_JOINABLE_CALLS),
    maintain: (members) => {
      const alive = members.filter(({ state }) => state !== "dead");
      knownDaemons = alive.length;
      const document = configuration.current?.document;
      const daemons = countRegionDaemons(alive, self, document?.regions ?? []);
      const linkBitsPerSecond = document?.regionLinkBitsPerSecond ?? 0;
      linkBudget.setRate(
        linkBitsPerSecond * PLANNED_LINK_RATIO / BITS_PER_BYTE / daemons,
      );
      metrics.linkBudget.set(linkBudget.tokens);
      chooser.retain(new Set(alive.map(({ incarnation }) => incarnation)));
    },
  };
}
