import * as assert from "uvu/assert";
import fc from "fast-check";
import { suite } from "uvu";
import { findVersionViolations } from "../testing/check_configuration_history.ts";
import {
  DISTRIBUTION_DOMAINS,
  DistributionBench,
} from "../testing/distribution_bench.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";

const SETTLE_MS = 40_000;

const test = suite("configuration history under faults");

/** Faulty holder that activates every version, including lower ones. */
class NonMonotonicHolder extends ConfigurationHolder {
  protected override isNewer(): boolean {
    return true;
  }
}

const FAULT_STEPS = [
  "accept",
  "store-down",
  "store-up",
  "store-stale",
  "partition",
  "heal",
  "restart",
] as const;

interface Step {
  readonly kind: (typeof FAULT_STEPS)[number];
  readonly target: number;
  readonly waitMs: number;
}

const stepsArbitrary = fc.array(
  fc.record({
    kind: fc.constantFrom(...FAULT_STEPS),
    target: fc.nat(100),
    waitMs: fc.integer({ min: 5, max: 6_000 }),
  }),
  { minLength: 3, maxLength: 14 },
);

async function applyStep(bench: DistributionBench, step: Step): Promise<void> {
  const { fleet } = bench;
  const domain =
    DISTRIBUTION_DOMAINS[step.target % DISTRIBUTION_DOMAINS.length]!.name;
  const daemon = fleet.daemons[step.target % fleet.daemons.length]!;
  switch (step.kind) {
    case "accept":
      await bench.accept(2_000 + fleet.events.length);
      break;
    case "store-down":
      fleet.setFaults({ isDown: true });
      break;
    case "store-up":
      fleet.setFaults({ isDown: false, servesStaleReads: false });
      break;
    case "store-stale":
      fleet.setFaults({ servesStaleReads: true });
      break;
    case "partition":
    case "heal":
      fleet.setPartitioned(domain, step.kind === "partition");
      break;
    case "restart":
      daemon.kill();
      fleet.restart(daemon);
  }
  await bench.advance(step.waitMs);
}

/**
 * Records the version of each confirmed daemon by address; returns one sentence
 * per daemon whose version is lower than one recorded before.
 */
function findStaleReadiness(
  { fleet }: DistributionBench,
  served: Map<string, number>,
): string[] {
  return fleet.daemons.filter(({ distributor }) => distributor.isConfirmed)
    .flatMap(
      ({ holder, self }) => {
        const before = served.get(self.address) ?? 0;
        served.set(self.address, Math.max(before, holder.version));
        return holder.version < before
          ? [
            `${self.incarnation} is ready with ${holder.version} after ${before}`,
          ]
          : [];
      },
    );
}

/** Applies the steps, clears all faults and returns the violations in the history. */
async function runSchedule(
  steps: readonly Step[],
  createHolder = () => new ConfigurationHolder(),
): Promise<string[]> {
  const bench = new DistributionBench(17, createHolder);
  const { fleet } = bench;
  await bench.start();
  const served = new Map<string, number>();
  const stale: string[] = [];
  for (const step of steps) {
    await applyStep(bench, step);
    stale.push(...findStaleReadiness(bench, served));
  }
  fleet.setFaults({ isDown: false, servesStaleReads: false });
  DISTRIBUTION_DOMAINS.forEach(({ name }) => fleet.setPartitioned(name, false));
  await bench.advance(SETTLE_MS);
  const last = await bench.accept(9_999);
  await bench.advance(SETTLE_MS);
  const behind = fleet.daemons.filter(({ holder }) => holder.version !== last);
  const unready = fleet.daemons.filter(({ distributor }) =>
    !distributor.isConfirmed
  );
  fleet.stop();
  return [
    ...stale,
    ...findVersionViolations(fleet.events),
    ...behind.map(({ holder, self }) =>
      `${self.incarnation} stayed at ${holder.version} of ${last}`
    ),
    ...unready.map(({ self }) => `${self.incarnation} did not become ready`),
  ];
}

test("under partitions, outages and restarts, versions never decrease and all daemons converge on the last accepted one", async () => {
  await fc.assert(
    fc.asyncProperty(stepsArbitrary, async (steps) => {
      assert.equal(await runSchedule(steps), []);
    }),
    { seed: 602, numRuns: 40 },
  );
});

test("the check detects a holder that does not compare versions", async () => {
  const details = await fc.check(
    fc.asyncProperty(stepsArbitrary, async (steps) => {
      const createHolder = () => new NonMonotonicHolder();
      assert.equal(await runSchedule(steps, createHolder), []);
    }),
    { seed: 602, numRuns: 40, endOnFailure: true },
  );
  assert.ok(details.failed);
  const { actual } = details.errorInstance as { actual: string[] };
  assert.match(actual.join("\n"), /went from/);
});

test.run();
