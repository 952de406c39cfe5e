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
    "# Capacity at the two-year size",
    "",
    "Computed by `npm run capacity` from `src/measure/capacity/measured.json`" +
    ` (measured on ${measurements.measuredOn}); do not edit the tables.`,
    "",
    ...renderInputs(),
    "## Figures by role",
    "",
    "Headroom is the limit divided by the figure; below 1 the figure is over its limit.",
    "The residual is the largest distance of a measured point from its line, relative to the largest value.",
    "",
    "| Role | Figure | At the size | Limit | Headroom | Residual | Worked out from | Carried by |",
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
    `Inputs: ${daemons} instances in ${services} services, ${regions} regions, ${failureDomains} failure domains` +
    ` (${MEMBERS_PER_DOMAIN} daemons each), ${callsPerSecond} calls/s up to ${depth} deep,` +
    ` ${TARGET_SIZES.configurationChangesPerDay} configuration changes, ${TARGET_SIZES.failuresPerDay} failures` +
    ` and ${TARGET_SIZES.restartsPerDay} restarts a day.`,
    "",
    `Assumed, since the letter does not say: each service calls ${ASSUMPTIONS.callsPerService} others,` +
    ` callers address every service, ${
      ASSUMPTIONS.nonRepeatableRatio * PERCENT
    }% of calls are non-repeatable,` +
    ` a restart makes ${ASSUMPTIONS.changesPerRestart} changes of a record (${
      formatNumber(RECORD_CHANGES_PER_SECOND)
    } changes/s over the fleet),` +
    ` a rack holds ${ASSUMPTIONS.vmsPerRack} VMs.`,
    "",
  ];
}

function renderRow(row: CapacityRow): string {
  const limit = row.limit === undefined
    ? "none stated"
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
    "## The bad day",
    "",
    "| Event | What happens | Cost |",
    "| --- | --- | --- |",
    `| A VM fails | Its failure domain evicts it; delegates pass it on | ${
      formatNumber(detectMs)
    } ms at p99 by the line (${
      formatNumber(detectionLine.residualRatio * PERCENT)
    }% residual); worst measured ${formatNumber(membership.detectP99Ms)} ms |`,
    `| A rack of ${ASSUMPTIONS.vmsPerRack} VMs fails | Suspicions and evictions, within the cap of ${evictions} a minute in the domain | ${datagrams} datagrams with rumors from each daemon of the domain, at most ${
      formatNumber(burstBytesPerSecond)
    } B/s sent and received by the budget of the rumors: over 4,096 B/s for ${
      formatNumber(datagrams / RUMOR_DATAGRAMS_PER_SECOND)
    } s |`,
    "| A failure domain is lost or cut off | Each other domain's three delegates mark it unreachable; its records are kept, and it keeps its own | Three changes of a record in each domain, and nothing for each of its members |",
    "| Regions lose each other for minutes | As before, for each domain of the other region | At the end each pair of domains compares 64 fingerprints and exchanges what differs |",
    "| Everything restarts | First reads of seed lists, joins, then own domain, called services, other services | See the store's third line; the time at this size is not measured |",
    "",
  ];
}
