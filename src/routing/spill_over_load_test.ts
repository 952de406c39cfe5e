import { suite } from "uvu";
import * as assert from "uvu/assert";
import { InstanceLoad } from "../testing/instance_load.ts";
import type {
  InstanceLoadPlan,
  LoadOutcome,
  LoadVm,
} from "../testing/instance_load.ts";

const test = suite("leaving the failure domain under load");

/** As instances of the scarcest service of the deployments have. */
const SLOTS = 18;

/** With few slots each call more or less matters more. */
const SLOTS_OF_INSTANCES = [4, 8, SLOTS];
const WORK_MS = 100;
const LATENCY_BOUND_MS = 250;
const SEEDS = [1, 2, 3];

/** Entries without an instance in each domain, besides its two instances. */
const ENTRIES = 4;
const VMS_PER_DOMAIN = 2 + ENTRIES;

const DOMAINS = ["gent-a", "gent-b"];

function createVms(slots = SLOTS): LoadVm[] {
  return DOMAINS.flatMap((domain) =>
    Array.from({ length: VMS_PER_DOMAIN }, (_, index) => ({
      domain,
      slots: index < 2 ? slots : 0,
      speed: 1,
    }))
  );
}

/** Runs two domains with two instances each; the demand of each domain is in multiples of what its instances carry. */
async function runLoad(
  demand: (domain: number, atMs: number) => number,
  { slots = SLOTS, ...changes }: Partial<InstanceLoadPlan> & {
    readonly slots?: number;
  } = {},
): Promise<{ outcomes: readonly LoadOutcome[] }> {
  const domainPerSecond = 2 * slots * 1_000 / WORK_MS;
  const load = new InstanceLoad({
    vms: createVms(slots),
    seed: 1,
    durationMs: 20_000,
    meanWorkMs: WORK_MS,
    targetLatencyMs: LATENCY_BOUND_MS,
    computeRate: (vm, atMs) =>
      demand(getDomain(vm), atMs) * domainPerSecond / VMS_PER_DOMAIN,
    isSlownessStated: false,
    isSpillControlled: true,
    computeDelayMs: (from, to) => from.domain === to.domain ? 0.5 : 1.4,
    ...changes,
  });
  return { outcomes: await load.run() };
}

function getDomain(vm: number): number {
  return Math.floor(vm / VMS_PER_DOMAIN);
}

function isIn(domain: number, vm: number): boolean {
  return vm >= 0 && getDomain(vm) === domain;
}

/** Share of the requests that match, among those of a domain that arrived in a period. */
function computeRatio(
  outcomes: readonly LoadOutcome[],
  { domain = 0, fromMs, toMs }: {
    readonly domain?: number;
    readonly fromMs: number;
    readonly toMs: number;
  },
  matches: (outcome: LoadOutcome) => boolean,
): number {
  const all = outcomes.filter(({ atMs, entry }) =>
    atMs >= fromMs && atMs < toMs && isIn(domain, entry)
  );
  return all.filter(matches).length / all.length;
}

const isServed = ({ isServed }: LoadOutcome) => isServed;
const isInTime = ({ isServed, latencyMs }: LoadOutcome) =>
  isServed && latencyMs <= LATENCY_BOUND_MS;
const hasLeft = ({ runner }: LoadOutcome) => isIn(1, runner);

function countOpposite(outcomes: readonly LoadOutcome[]): number {
  return outcomes.filter(({ entry, runner }) =>
    isIn(1, entry) && isIn(0, runner)
  )
    .length;
}

for (const slots of SLOTS_OF_INSTANCES) {
  for (const seed of SEEDS) {
    test(`a domain that asks 1.5 times what it carries sends what it must, and takes it back (${slots} slots, seed ${seed})`, async () => {
      const { outcomes } = await runLoad(
        (domain, atMs) => domain === 1 ? 0.1 : atMs < 12_000 ? 1.5 : 0.5,
        { seed, slots },
      );
      const settled = { fromMs: 3_000, toMs: 12_000 };
      const served = computeRatio(outcomes, settled, isServed);
      const inTime = computeRatio(outcomes, settled, isInTime);
      const left = computeRatio(outcomes, settled, hasLeft);
      assert.ok(served >= 0.99, `${served} served`);
      assert.ok(inTime >= 0.95, `${inTime} within ${LATENCY_BOUND_MS} ms`);
      assert.ok(left <= 0.45 && left >= 1 / 3, `${left} left`);
      assert.is(countOpposite(outcomes), 0);
      const bySecond = [3, 4, 5, 6, 7, 8, 9, 10, 11].map((second) =>
        computeRatio(
          outcomes,
          { fromMs: second * 1_000, toMs: (second + 1) * 1_000 },
          hasLeft,
        )
      );
      const swing = Math.max(...bySecond) - Math.min(...bySecond);
      assert.ok(swing <= 0.2, `${bySecond.join(" ")}`);
      const returned = { fromMs: 15_000, toMs: 20_000 };
      const stillLeft = computeRatio(outcomes, returned, hasLeft);
      assert.ok(stillLeft <= 0.02, `${stillLeft} left with room in the domain`);
    });
  }
}

for (const seed of SEEDS) {
  test(`stops sending when the other domain fails (seed ${seed})`, async () => {
    const { outcomes } = await runLoad((domain) => domain === 1 ? 0 : 1.5, {
      seed,
      durationMs: 12_000,
      isDown: (vm, atMs) => getDomain(vm) === 1 && atMs >= 6_000,
    });
    const before = { fromMs: 3_000, toMs: 6_000 };
    const after = { fromMs: 7_000, toMs: 12_000 };
    assert.ok(computeRatio(outcomes, before, isServed) >= 0.99);
    // The instances of the domain carry two thirds.
    const served = computeRatio(outcomes, after, isServed);
    assert.ok(served >= 0.6, `${served} served`);
  });

  test(`stops sending when the other domain fills, and never both ways (seed ${seed})`, async () => {
    const { outcomes } = await runLoad(
      (domain, atMs) => domain === 0 || atMs >= 6_000 ? 1.5 : 0.1,
      { seed, durationMs: 14_000 },
    );
    const later = { fromMs: 9_000, toMs: 14_000 };
    const left = computeRatio(outcomes, later, hasLeft);
    assert.ok(left <= 0.05, `${left} left to a full domain`);
    const byHalfSecond = Array.from({ length: 28 }, (_, index) => {
      const fromMs = index * 500;
      const period = { fromMs, toMs: fromMs + 500 };
      return Math.min(
        computeRatio(outcomes, period, hasLeft),
        computeRatio(
          outcomes,
          { ...period, domain: 1 },
          ({ runner }) => isIn(0, runner),
        ) || 0,
      );
    });
    assert.is(Math.max(...byHalfSecond), 0, byHalfSecond.join(" "));
  });

  test(`two domains that are overloaded from the start never send both ways (seed ${seed})`, async () => {
    const { outcomes } = await runLoad(() => 1.5, { seed, durationMs: 10_000 });
    const byHalfSecond = Array.from({ length: 20 }, (_, index) => {
      const period = { fromMs: index * 500, toMs: index * 500 + 500 };
      const back = { ...period, domain: 1 };
      return Math.min(
        computeRatio(outcomes, period, hasLeft),
        computeRatio(outcomes, back, ({ runner }) => isIn(0, runner)),
      );
    });
    assert.is(Math.max(...byHalfSecond), 0, byHalfSecond.join(" "));
  });

  test(`leaves the region only if much is gained (seed ${seed})`, async () => {
    const vms = createVms().map((vm) =>
      vm.domain === "gent-a" ? vm : { ...vm, region: "wallonie" }
    );
    const changes: Partial<InstanceLoadPlan> = {
      vms,
      seed,
      durationMs: 10_000,
      computeDelayMs: (from, to) => from.domain === to.domain ? 0.5 : 30,
    };
    const settled = { fromMs: 3_000, toMs: 10_000 };
    const full = await runLoad((domain) => domain === 1 ? 0.1 : 0.9, changes);
    const leftFull = computeRatio(full.outcomes, settled, hasLeft);
    assert.ok(leftFull <= 0.02, `${leftFull} left at 0.9 of the capacity`);
    const over = await runLoad((domain) => domain === 1 ? 0.1 : 1.5, changes);
    const served = computeRatio(over.outcomes, settled, isServed);
    const left = computeRatio(over.outcomes, settled, hasLeft);
    assert.ok(served >= 0.99, `${served} served`);
    assert.ok(left <= 0.45, `${left} left`);
    assert.is(countOpposite(over.outcomes), 0);
  });
}

test("a deployment that does not call for shares is served call by call as one without them", async () => {
  const run = (changes: Partial<InstanceLoadPlan>) =>
    runLoad((domain) => domain === 1 ? 0.1 : 1.5, {
      ...changes,
      durationMs: 6_000,
    });
  const without = await run({ isSpillControlled: undefined });
  const switchedOff = await run({ isSpillControlled: false });
  assert.equal(switchedOff.outcomes, without.outcomes);
});

test.run();
