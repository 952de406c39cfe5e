/**
 * Measures bulk downloads and important calls that compete for a region link, scaled
 * down to a tenth of its bandwidth. The baseline is random load balancing without a
 * link budget.
 */

import {
  createTestConfiguration,
  TEST_CHAINS,
} from "../../testing/create_test_configuration.ts";
import type { Experiment, ExperimentResult, TableRow } from "../experiment.ts";
import { Fleet } from "../fleet.ts";
import type { FleetPlan, VmPlan } from "../fleet.ts";
import { countRequests, driveLoad } from "../load/mod.ts";
import { LinkMesh } from "../routing/link_mesh.ts";

const LINK_BITS_PER_SECOND = 3_000_000;
const ONE_WAY_DELAY_MS = 30;
const BULK_BYTES = 40_000;
const BULK_PER_SECOND = 20;
const IMPORTANT_PER_SECOND = 40;
const BULK_DEADLINE_MS = 2_000;
const IMPORTANT_DEADLINE_MS = 500;
const DURATION_MS = 10_000;
const SLOTS = 32;
const SEED = 13;

const SERVING_DOMAIN = {
  region: "vlaanderen",
  failureDomain: "gent-a",
} as const;
const CALLER_DOMAINS = [
  { region: "wallonie", failureDomain: "namur-a" },
  { region: "wallonie", failureDomain: "namur-b" },
] as const;

const VARIANTS = [
  { routing: "adaptive", hasLocalCopy: false, network: 57 },
  { routing: "random", hasLocalCopy: false, network: 58 },
  { routing: "adaptive", hasLocalCopy: true, network: 51 },
  { routing: "random", hasLocalCopy: true, network: 52 },
] as const;

type Variant = typeof VARIANTS[number];

interface VariantResult extends TableRow {
  readonly routing: string;
  readonly localCopy: string;
  readonly importantRatio: number;
  readonly importantP99Ms: number;
  readonly bulkRatio: number;
  readonly linkUtilisation: number;
  readonly bulkBytesCrossed: number;
}

/** The experiment. */
export const experiment: Experiment = {
  description: "bulk downloads and important calls on one region link",
  run,
};

async function run(): Promise<ExperimentResult> {
  const rows: VariantResult[] = [];
  for (const variant of VARIANTS) {
    rows.push(await runVariant(variant));
  }
  const [adaptive, random, adaptiveLocalCopy, randomLocalCopy] = rows.map((
    { routing: _routing, localCopy: _localCopy, ...measures },
  ) => measures);
  return {
    rows,
    fields: {
      ...adaptive,
      random,
      localCopy: { ...adaptiveLocalCopy, randomLocal: randomLocalCopy },
    },
  };
}

async function runVariant(variant: Variant): Promise<VariantResult> {
  const plan = createPlan(variant);
  const mesh = new LinkMesh(plan.vms, SERVING_DOMAIN.region, {
    oneWayDelayMs: ONE_WAY_DELAY_MS,
    bitsPerSecond: LINK_BITS_PER_SECOND,
  });
  const { routing, hasLocalCopy } = variant;
  const fleet = new Fleet({ ...plan, routing, vms: await mesh.open() });
  try {
    await fleet.start();
    const bytesBefore = mesh.outbound.sentBytes;
    const [important, bulk] = await Promise.all([
      driveKind(fleet, {
        name: "important",
        className: "deliveries",
        service: "stock",
        pathPrefix: "/levels",
        requestsPerSecond: IMPORTANT_PER_SECOND,
        deadlineMs: IMPORTANT_DEADLINE_MS,
      }),
      driveKind(fleet, {
        name: "bulk",
        className: "bulk",
        service: "price-sheets",
        pathPrefix: "/sheets",
        requestsPerSecond: BULK_PER_SECOND,
        deadlineMs: BULK_DEADLINE_MS,
      }),
    ]);
    const crossedBytes = mesh.outbound.sentBytes - bytesBefore;
    const bulkRuns = fleet.vms
      .filter(({ plan: { region } }) => region === SERVING_DOMAIN.region)
      .flatMap(({ backendServer }) => backendServer.runs)
      .filter(({ service }) => service === "price-sheets");
    return {
      routing,
      localCopy: hasLocalCopy ? "yes" : "no",
      importantRatio: important.ratio,
      importantP99Ms: important.p99Ms,
      bulkRatio: bulk.ratio,
      linkUtilisation: round(
        crossedBytes * 8 / (LINK_BITS_PER_SECOND * DURATION_MS / 1_000),
      ),
      bulkBytesCrossed: bulkRuns.length * BULK_BYTES,
    };
  } finally {
    await fleet.stop();
    mesh.close();
  }
}

function createPlan({ network, hasLocalCopy }: Variant): FleetPlan {
  const base = createTestConfiguration();
  const createVm = (
    service: string,
    place: Pick<VmPlan, "region" | "failureDomain" | "address">,
  ): VmPlan => ({
    ...place,
    service,
    slots: SLOTS,
    behavior: {
      serviceTimeMs: 5,
      answerBytes: service === "price-sheets" ? BULK_BYTES : 64,
    },
  });
  const servers = ["price-sheets", "price-sheets", "stock", "stock"]
    .map((service, index) =>
      createVm(service, {
        ...SERVING_DOMAIN,
        address: `127.${network}.0.${index + 1}`,
      })
    );
  const entries = CALLER_DOMAINS.map((place, index) =>
    createVm("round-planning", {
      ...place,
      address: `127.${network}.${2 + index}.1`,
    })
  );
  const localCopies = CALLER_DOMAINS.map((place, index) =>
    createVm("price-sheets", {
      ...place,
      address: `127.${network}.${2 + index}.2`,
    })
  );
  return {
    configuration: {
      ...base,
      regionLinkBitsPerSecond: LINK_BITS_PER_SECOND,
      requests: base.requests.map((request) =>
        request.name === "read-levels"
          ? { ...request, className: "deliveries" }
          : request
      ),
    },
    chains: TEST_CHAINS,
    vms: [...servers, ...entries, ...hasLocalCopy ? localCopies : []],
    storeAddress: `127.${network}.255.1`,
    storePort: 7000,
    protection: "on",
    randomSeed: network,
  };
}

interface KindLoadOptions {
  readonly name: string;
  readonly className: string;
  readonly service: string;
  readonly pathPrefix: string;
  readonly requestsPerSecond: number;
  readonly deadlineMs: number;
}

/** Sends calls of one kind; they enter in the callers' region, which has no stock service. */
async function driveKind(
  fleet: Fleet,
  { requestsPerSecond, deadlineMs, ...kind }: KindLoadOptions,
): Promise<{ ratio: number; p99Ms: number }> {
  const report = await driveLoad({
    phases: [{ name: kind.name, durationMs: DURATION_MS, requestsPerSecond }],
    kinds: [{ ...kind, weight: 1, method: "GET", isRepeatable: true }],
    behavior: {
      deadlineMs,
      attemptTimeoutMs: deadlineMs,
      maxAttempts: 1,
      backoffMs: 0,
      honorsRetryAfter: true,
    },
    entryUrls: fleet.vms.filter(({ plan }) => plan.service === "round-planning")
      .map(({ entryUrl }) => entryUrl),
    memberCount: 50,
    randomSeed: SEED,
    requestIdPrefix: kind.name,
    bucketMs: 1_000,
  });
  const { offered, answered } = countRequests(report, {
    fromMs: 0,
    untilMs: Infinity,
  });
  const latency = report.latencyByClass[kind.className];
  return {
    ratio: round(answered / offered),
    p99Ms: round((latency?.getValueAtPercentile(99) ?? 0) / 1_000),
  };
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
