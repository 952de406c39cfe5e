/**
 * Creation of the components that control the calls from this daemon to
 * others: instance selection, retries and request coalescing.
 */

import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { DaemonSettings, MemberRecord } from "../generated/types.ts";
import type { ConnectionReplacement } from "../peer/mod.ts";
import {
  AllowanceRetryPolicy,
  CallJoiner,
  DEFAULT_EDGE_BOUNDS,
  locateDaemon,
  MAX_JOINABLE_CALLS,
  PerHopRetryPolicy,
  RetryBudget,
  shareRetrySlack,
} from "../retry/mod.ts";
import type { FleetPosition, RetryPolicy } from "../retry/mod.ts";
import {
  AdaptiveLoadBalancer,
  countRegionDaemons,
  LinkBudget,
  RandomLoadBalancer,
} from "../routing/mod.ts";
import type { LoadBalancer } from "../routing/mod.ts";
import { reportSpillChange } from "./report_spill_change.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import type { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";

const BITS_PER_BYTE = 8;

/** Share of the region link's capacity allocated to the daemons' calls; the rest is for gossip and framing. */
const ALLOCATED_LINK_RATIO = 0.9;

/** Dependencies of the outbound components. */
export interface OutboundComponentsOptions {
  readonly settings: DaemonSettings;
  readonly self: MemberRecord;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly journal: DecisionJournal;
  readonly metrics: DaemonMetrics;
  readonly configuration: ConfigurationHolder;
  readonly routing: "adaptive" | "random";
}

/** Instance selection, retries and request coalescing. */
export interface OutboundComponents {
  readonly loadBalancer: LoadBalancer;
  readonly retryPolicy: RetryPolicy;
  readonly joiner: CallJoiner;
  /** Records that an unresponsive connection is replaced. */
  reportReplacement(replacement: ConnectionReplacement): void;
  /** Adapts the components to the current members; called periodically. */
  maintain(members: readonly MemberRecord[]): void;
}

/**
 * Creates the outbound components, or those of the baseline if protection is off.
 *
 * @param options - Dependencies
 * @returns The components
 *
 * @example
 * const outbound = createOutboundComponents({ settings, self, clock, random, journal, metrics, configuration, routing });
 */
export function createOutboundComponents(
  options: OutboundComponentsOptions,
): OutboundComponents {
  const { journal, metrics } = options;
  const reportReplacement = (replacement: ConnectionReplacement) => {
    metrics.replacedConnections.inc();
    journal.record(DECISIONS.connectionReplaced, { ...replacement });
  };
  if (options.settings.protection === "off") {
    return {
      reportReplacement,
      loadBalancer: new RandomLoadBalancer(options.random),
      retryPolicy: new PerHopRetryPolicy(),
      joiner: new CallJoiner(0),
      maintain: () => undefined,
    };
  }
  const { clock, random, self, configuration } = options;
  const linkBudget = new LinkBudget(clock);
  const loadBalancer = new AdaptiveLoadBalancer({
    clock,
    random,
    locality: self,
    linkBudget,
    reportOutlier: (kind, facts) => {
      metrics.outlierDecisions.inc({ decision: kind });
      journal.record(kind, facts);
    },
    spillOver: {
      isEnabled: () => configuration.current?.document.accounts !== undefined,
      reportChange: (change) => reportSpillChange({ journal, metrics }, change),
    },
  });
  const readRetryRatio = () => configuration.current?.document.retryRatio ?? 0;
  let position: FleetPosition = { daemons: 1, index: 0 };
  const readEdgeBounds = () => {
    const retrySlack = configuration.current?.document.retrySlack;
    return retrySlack === undefined
      ? DEFAULT_EDGE_BOUNDS
      : shareRetrySlack(retrySlack, position);
  };
  return {
    reportReplacement,
    loadBalancer: options.routing === "random"
      ? new RandomLoadBalancer(random)
      : loadBalancer,
    retryPolicy: new AllowanceRetryPolicy(
      new RetryBudget(clock, readRetryRatio, readEdgeBounds),
    ),
    joiner: new CallJoiner(MAX_JOINABLE_CALLS),
    maintain: (members) => {
      const alive = members.filter(({ state }) => state !== "dead");
      const document = configuration.current?.document;
      position = locateDaemon(alive, self, document?.regions ?? []);
      const regionDaemonCount = countRegionDaemons(
        alive,
        self,
        document?.regions ?? [],
      );
      const linkBitsPerSecond = document?.regionLinkBitsPerSecond ?? 0;
      linkBudget.setRate(
        linkBitsPerSecond * ALLOCATED_LINK_RATIO / BITS_PER_BYTE /
          regionDaemonCount,
      );
      metrics.linkBudget.set(linkBudget.tokens);
      loadBalancer.setDaemonCount(alive.length);
      loadBalancer.retain(new Set(alive.map(({ incarnation }) => incarnation)));
    },
  };
}
