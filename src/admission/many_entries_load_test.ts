/**
 * Many entries with little traffic each, in front of one scarce service: 195
 * daemons that each see a few requests a second, as on a deployment of that size.
 */

import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { CompiledRequest } from "../configuration/mod.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { INTERVAL_MS, runManyEntries } from "../testing/many_entries_load.ts";
import type { LoadInterval, LoadKind } from "../testing/many_entries_load.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { ThrottledEntryAdmission } from "./throttled_entry_admission.ts";

const test = suite("many entries with little traffic");

const ENTRIES = 195;
const FAILURE_DOMAINS = 8;
const SEEDS = [1, 2, 3, 4, 5];

const EXCHANGE_INTERVAL_MS = 250;
const CROSS_DOMAIN_DELAY_MS = 31;

const CALM_MS = 5_000;
const OVERLOAD_MS = 15_000;
const RECOVERY_MS = 6_000;

/** Time after the start of the overload for the throttle to settle, in milliseconds. */
const SETTLE_MS = 2_000;

const RECOVERED_RATIO = 0.95;

const KINDS: readonly LoadKind[] = [
  createKind("round-view", 2, 403),
  createKind("delivery-post", 0, 142),
  createKind("price-sheet", 2, 42),
  createKind("stock-look", 1, 106),
];

function createKind(
  name: string,
  classRank: number,
  requestsPerSecond: number,
): LoadKind {
  const request = { name, classRank, className: name, service: "scarce" };
  return { request: request as CompiledRequest, requestsPerSecond };
}

function createEntries(
  clock: ManualClock,
  seed: number,
): ThrottledEntryAdmission[] {
  const metrics = new DaemonMetrics();
  const journal = new DecisionJournal(clock);
  return Array.from(
    { length: ENTRIES },
    (_, index) =>
      new ThrottledEntryAdmission({
        clock,
        random: new RandomSource(seed * ENTRIES + index),
        journal,
        metrics,
        readLowestRank: () => 2,
      }),
  );
}

/** Passes the counts on as the gossip of the entries does. */
function startExchange(
  clock: ManualClock,
  entries: readonly ThrottledEntryAdmission[],
): void {
  const domains = Array.from(
    { length: FAILURE_DOMAINS },
    (_, domain) =>
      entries.filter((_entry, index) => index % FAILURE_DOMAINS === domain)
        .map(({ exchange }) => exchange),
  );
  clock.scheduleEvery(EXCHANGE_INTERVAL_MS, () => {
    for (const [domain, [collector, ...members]] of domains.entries()) {
      members.filter(({ isActive }) => isActive).forEach((member, index) =>
        collector?.recordReport(String(index), member.createReport())
      );
      if (!collector?.isActive) {
        continue;
      }
      const fleetSum = collector.createFleetSum();
      members.forEach((member) => member.recordFleetSum(fleetSum));
      const domainSum = collector.createDomainSum();
      for (const [other] of domains) {
        if (other !== collector) {
          clock.schedule(
            CROSS_DOMAIN_DELAY_MS,
            () => other?.recordDomainSum(String(domain), domainSum),
          );
        }
      }
    }
  });
}

interface Summary {
  readonly wastedRatio: number;
  readonly goodputRatio: number;
  readonly mostImportantServed: number;
  /** Time from the end of the overload until 95 % are served for good, in milliseconds. */
  readonly recoveryMs: number;
}

function run(seed: number, isExchanging: boolean): Summary {
  const clock = new ManualClock();
  const entries = createEntries(clock, seed);
  if (isExchanging) {
    startExchange(clock, entries);
  }
  const intervals = runManyEntries({
    ...{ clock, entries, seed, kinds: KINDS },
    phases: [
      { durationMs: CALM_MS, capacityRatio: 1.5 },
      { durationMs: OVERLOAD_MS, capacityRatio: 0.5 },
      { durationMs: RECOVERY_MS, capacityRatio: 1.5 },
    ],
  });
  const select = (fromMs: number, untilMs: number) =>
    intervals.slice(fromMs / INTERVAL_MS, untilMs / INTERVAL_MS);
  const overloadEndMs = CALM_MS + OVERLOAD_MS;
  const overloaded = select(CALM_MS + SETTLE_MS, overloadEndMs);
  const recovering = select(
    overloadEndMs,
    overloadEndMs + RECOVERY_MS - 2 * INTERVAL_MS,
  );
  const isPoor = recovering.map(({ served, offered }) =>
    total(served) < RECOVERED_RATIO * total(offered)
  );
  return {
    wastedRatio: sum(overloaded, ({ wasted }) => wasted) /
      sum(overloaded, ({ admitted }) => admitted),
    goodputRatio: sum(overloaded, ({ served }) => total(served)) /
      sum(overloaded, ({ capacity }) => capacity),
    mostImportantServed:
      sum(overloaded, ({ served }) => served["delivery-post"] ?? 0) /
      sum(overloaded, ({ offered }) => offered["delivery-post"] ?? 0),
    recoveryMs: (isPoor.lastIndexOf(true) + 1) * INTERVAL_MS,
  };
}

function sum(
  intervals: readonly LoadInterval[],
  read: (interval: LoadInterval) => number,
): number {
  return intervals.reduce((result, interval) => result + read(interval), 0);
}

function total(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((result, count) => result + count, 0);
}

for (const seed of SEEDS) {
  test(`at twice the capacity, little is admitted in vain and the important kind is served (seed ${seed})`, () => {
    const summary = run(seed, true);
    const text = JSON.stringify(summary);
    assert.ok(summary.wastedRatio < 0.1, text);
    assert.ok(summary.goodputRatio >= 0.95, text);
    assert.ok(summary.mostImportantServed >= 0.995, text);
  });

  test(`everything is served again within two seconds (seed ${seed})`, () => {
    const { recoveryMs } = run(seed, true);
    assert.ok(recoveryMs <= 2_000, `${recoveryMs} ms`);
  });
}

test("without the counts of other entries, the overload stays unnoticed", () => {
  const summary = run(SEEDS[0] ?? 1, false);
  assert.ok(summary.wastedRatio > 0.3, JSON.stringify(summary));
});

test.run();
