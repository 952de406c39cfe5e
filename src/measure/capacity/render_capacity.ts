/**
 * Renders the capacity page as Markdown.
 */

import type { CapacityRow } from "./compute_capacity.ts";
import {
  computeCapacity,
  formatNumber,
  MEMBERS_PER_DOMAIN,
  RECORD_CHANGES_PER_SECOND,
} from "./compute_capacity.ts";
import type { Measurements } from "./measurements.ts";
import { ASSUMPTIONS, TARGET_SIZES } from "./target_sizes.ts";

const PERCENT = 100;
const RUMOR_DATAGRAMS_PER_SECOND = 6;

/** Full datagram including the IP and UDP headers. */
const DATAGRAM_BYTES = 1_228;

/** Member records that fit into one datagram. */
const RECORDS_PER_DATAGRAM = 7;

/** Members to which a daemon pushes each rumor. */
const RUMOR_FANOUT = 4;

/** Maximum share of the members of a failure domain that is evicted per minute. */
const DOMAIN_EVICTION_RATIO = 0.2;

/**
 * Renders the capacity page.
 *
 * @param measurements - The committed measurements
 * @param notes - Markdown that follows the tables
 * @returns The page as Markdown
 *
 * @example
 * await writeFile("docs/CAPACITY.md", renderCapacity(measurements, notes));
 */
export function renderCapacity(
  measurements: Measurements,
  notes: string,
): string {
  const rows = computeCapacity(measurements);
  return [
    "# Capacity at the two-year target size",
    "",
    "Computed by `npm run capacity` from `src/measure/capacity/measured.json`" +
    ` (measured on ${measurements.measuredOn}); do not edit the tables.`,
    "",
    ...renderInputs(),
    "## Metrics by role",
    "",
    "Headroom is the limit divided by the value; below 1 the value exceeds its limit.",
    "The residual is the largest distance of a measured point from the fitted line, relative to the largest measured value.",
    "",
    "| Role | Metric | At the target size | Limit | Headroom | Residual | Calculation | Mechanism |",
    "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ...rows.map(renderRow),
    "",
    ...renderFailureScenarios(measurements),
    notes.trimEnd(),
    "",
  ].join("\n");
}

function renderInputs(): string[] {
  const { daemons, services, regions, failureDomains, callsPerSecond, depth } =
    TARGET_SIZES;
  return [
    `Target size: ${daemons} instances in ${services} services, ${regions} regions, ${failureDomains} failure domains` +
    ` (${MEMBERS_PER_DOMAIN} daemons each), ${callsPerSecond} calls/s, up to ${depth} deep,` +
    ` ${TARGET_SIZES.configurationChangesPerDay} configuration changes, ${TARGET_SIZES.failuresPerDay} failures` +
    ` and ${TARGET_SIZES.restartsPerDay} restarts a day.`,
    "",
    `Assumptions where the requirements state no value: each service calls ${ASSUMPTIONS.callsPerService} others,` +
    ` callers address every service directly, ${
      ASSUMPTIONS.nonRepeatableRatio * PERCENT
    }% of calls are non-repeatable,` +
    ` a restart or failure causes ${ASSUMPTIONS.changesPerRestart} changes of a member record (${
      formatNumber(RECORD_CHANGES_PER_SECOND)
    } changes/s in the whole fleet),` +
    ` a rack holds ${ASSUMPTIONS.vmsPerRack} VMs.`,
    "",
  ];
}

function renderRow(row: CapacityRow): string {
  const limit = row.limit === undefined
    ? "none specified"
    : `${formatNumber(row.limit)} ${row.unit}`;
  const headroom = row.limit === undefined
    ? ""
    : formatNumber(row.limit / row.value);
  return `| ${row.role} | ${row.metric} | ${
    formatNumber(row.value)
  } ${row.unit} | ${limit} | ${headroom} | ${
    formatNumber(row.residualRatio * PERCENT)
  }% | ${row.calculation} | ${row.mechanism} |`;
}

function renderFailureScenarios({ membership }: Measurements): string[] {
  const datagrams =
    Math.ceil(ASSUMPTIONS.vmsPerRack * 2 / RECORDS_PER_DATAGRAM) *
    RUMOR_FANOUT;
  const burstBytesPerSecond = RUMOR_DATAGRAMS_PER_SECOND * DATAGRAM_BYTES * 2;
  const evictions = Math.floor(MEMBERS_PER_DOMAIN * DOMAIN_EVICTION_RATIO);
  const detectionLine = membership.slopes.detectByMembers;
  const detectMs = detectionLine.intercept +
    detectionLine.slope * MEMBERS_PER_DOMAIN;
  return [
    "## Failure scenarios",
    "",
    "| Event | Behavior | Cost |",
    "| --- | --- | --- |",
    `| A VM fails | The other members of its failure domain evict it; the delegates forward the change to the other failure domains | Detected within ${
      formatNumber(detectMs)
    } ms at p99, extrapolated along the fitted line (${
      formatNumber(detectionLine.residualRatio * PERCENT)
    }% residual); highest measured p99 ${
      formatNumber(membership.detectP99Ms)
    } ms |`,
    `| A rack of ${ASSUMPTIONS.vmsPerRack} VMs fails | Its members are suspected and evicted, at most ${evictions} a minute in the failure domain | ${datagrams} datagrams with rumors from each daemon of the failure domain, at most ${
      formatNumber(burstBytesPerSecond)
    } B/s sent and received under the rate limit for rumors: over 4,096 B/s for ${
      formatNumber(datagrams / RUMOR_DATAGRAMS_PER_SECOND)
    } s |`,
    "| A failure domain is lost or cut off | The three delegates of each other failure domain mark it as unreachable; its records are kept, also by its own members | Three record changes in each failure domain, and none per member of the unreachable one |",
    "| The connection between regions is lost for minutes | As in the row above, for each failure domain of the other region | After reconnection, each pair of failure domains compares the digests of 64 buckets and exchanges the records of those that differ |",
    "| The whole fleet restarts | Each daemon reads the seed lists and joins, then learns of its own failure domain, the services that it calls, and the other services | See the third row of the store; the time at this size has not been measured |",
    "",
  ];
}
