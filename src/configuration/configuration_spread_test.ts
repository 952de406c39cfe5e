import * as assert from "uvu/assert";
import fc from "fast-check";
import { suite } from "uvu";
import type { Configuration } from "../generated/types.ts";
import { advanceInSteps, advanceUntil } from "../testing/advance_in_steps.ts";
import { findReversions } from "../testing/check_configuration_history.ts";
import { ConfigurationFleet } from "../testing/configuration_fleet.ts";
import type { LightConfigurationDaemon } from "../testing/light_configuration_daemon.ts";
import { createTestConfiguration } from "../testing/create_test_configuration.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { MemoryObjectStore } from "../testing/memory_object_store.ts";
import { writeConfiguration } from "../testing/write_configuration.ts";
import { RandomSource } from "../time/mod.ts";
import { ConfigurationHolder } from "./configuration_holder.ts";

const STEP_MS = 10;
const SETTLE_MS = 40_000;
const DOMAINS = [
  { name: "gent-a", region: "vlaanderen" },
  { name: "gent-b", region: "vlaanderen" },
  { name: "namur-a", region: "wallonie" },
  { name: "namur-b", region: "wallonie" },
];

const test = suite("spread of configurations");

/** Puts whatever it is offered in force. */
class ForgetfulHolder extends ConfigurationHolder {
  protected override isNewer(): boolean {
    return true;
  }
}

function createBench(
  seed: number,
  createHolder = () => new ConfigurationHolder(),
) {
  const clock = new ManualClock();
  const fleet = new ConfigurationFleet({
    clock,
    random: new RandomSource(seed),
    domains: DOMAINS,
    daemonsPerDomain: 5,
    createHolder,
  });
  const store = new MemoryObjectStore({
    table: fleet.table,
    clock,
    faults: {
      isDown: false,
      losesAnswers: false,
      answersFromPast: false,
      delayMs: 0,
    },
  });
  return { clock, fleet, store };
}

type Bench = ReturnType<typeof createBench>;

function withDeadline(deadlineMs: number): Configuration {
  const configuration = createTestConfiguration();
  const [first, ...others] = configuration.requests;
  return { ...configuration, requests: [{ ...first!, deadlineMs }, ...others] };
}

function accept({ clock, store }: Bench, deadlineMs: number): Promise<number> {
  const configuration = withDeadline(deadlineMs);
  return advanceUntil(clock, writeConfiguration(store, configuration), STEP_MS);
}

async function startFleet(bench: Bench): Promise<void> {
  await accept(bench, 1_001);
  bench.fleet.start();
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
}

function listVersions({ fleet }: Bench): number[] {
  return [...new Set(fleet.daemons.map(({ holder }) => holder.version))];
}

function listWatchers({ fleet }: Bench): LightConfigurationDaemon[] {
  return fleet.daemons.filter(({ isRunning, spread }) =>
    isRunning && spread.isWatcher
  );
}

test("two daemons of each failure domain watch, and the others take over when they die", async () => {
  const bench = createBench(11);
  await startFleet(bench);
  const watchers = listWatchers(bench);
  assert.is(watchers.length, 2 * DOMAINS.length);
  watchers.forEach((watcher) => watcher.kill());
  await advanceInSteps(bench.clock, 2_000, STEP_MS);
  const successors = listWatchers(bench);
  assert.is(successors.length, 2 * DOMAINS.length);
  const version = await accept(bench, 1_002);
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
  const running = bench.fleet.daemons.filter(({ isRunning }) => isRunning);
  assert.ok(running.every(({ holder }) => holder.version === version));
});

test("what one daemon read just before an outage reaches all others", async () => {
  const bench = createBench(12);
  await startFleet(bench);
  for (const { name } of DOMAINS.slice(1)) {
    bench.fleet.faultsOf(name).isDown = true;
  }
  bench.fleet.table.wakeAll();
  const version = await accept(bench, 1_002);
  await advanceInSteps(bench.clock, 50, STEP_MS);
  bench.fleet.setFaults({ isDown: true });
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
  assert.equal(listVersions(bench), [version]);
});

test("a failure domain that was cut off from peers and store catches up when healed", async () => {
  const bench = createBench(13);
  await startFleet(bench);
  bench.fleet.setCut("namur-b", true);
  bench.fleet.faultsOf("namur-b").isDown = true;
  bench.fleet.table.wakeAll();
  await accept(bench, 1_002);
  const version = await accept(bench, 1_003);
  await advanceInSteps(bench.clock, 20_000, STEP_MS);
  assert.equal(listVersions(bench), [version, 1]);
  bench.fleet.setCut("namur-b", false);
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
  assert.equal(listVersions(bench), [version]);
});

test("a daemon restarted next to peers with a store that answers from the past waits for the peers' version", async () => {
  const bench = createBench(14);
  await startFleet(bench);
  const version = await accept(bench, 1_002);
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
  bench.fleet.setFaults({ answersFromPast: true });
  const old = bench.fleet.daemons[0]!;
  old.kill();
  const next = bench.fleet.restart(old);
  let versionWhenReady = 0;
  for (let passedMs = 0; passedMs < 10_000; passedMs += STEP_MS) {
    await advanceInSteps(bench.clock, STEP_MS, STEP_MS);
    if (next.spread.isConfirmed && versionWhenReady === 0) {
      versionWhenReady = next.holder.version;
    }
  }
  assert.is(versionWhenReady, version);
});

test("a daemon that reaches neither store nor peers does not become ready", async () => {
  const bench = createBench(15);
  await startFleet(bench);
  bench.fleet.setFaults({ isDown: true });
  const [survivor, ...others] = bench.fleet.daemons;
  others.forEach((daemon) => daemon.kill());
  survivor!.kill();
  const next = bench.fleet.restart(survivor!);
  await advanceInSteps(bench.clock, 30_000, STEP_MS);
  assert.not(next.spread.isConfirmed);
});

test("with the store down a restarted daemon becomes ready with its peers' version", async () => {
  const bench = createBench(16);
  await startFleet(bench);
  const version = await accept(bench, 1_002);
  await advanceInSteps(bench.clock, 5_000, STEP_MS);
  bench.fleet.setFaults({ isDown: true });
  const old = bench.fleet.daemons[7]!;
  old.kill();
  const next = bench.fleet.restart(old);
  await advanceInSteps(bench.clock, 10_000, STEP_MS);
  assert.ok(next.spread.isConfirmed);
  assert.is(next.holder.version, version);
});

const FAULT_STEPS = [
  "accept",
  "store-down",
  "store-up",
  "store-past",
  "cut",
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

async function applyStep(bench: Bench, step: Step): Promise<void> {
  const { fleet } = bench;
  const domain = DOMAINS[step.target % DOMAINS.length]!.name;
  const daemon = fleet.daemons[step.target % fleet.daemons.length]!;
  switch (step.kind) {
    case "accept":
      await accept(bench, 2_000 + fleet.events.length);
      break;
    case "store-down":
      fleet.setFaults({ isDown: true });
      break;
    case "store-up":
      fleet.setFaults({ isDown: false, answersFromPast: false });
      break;
    case "store-past":
      fleet.setFaults({ answersFromPast: true });
      break;
    case "cut":
    case "heal":
      fleet.setCut(domain, step.kind === "cut");
      break;
    case "restart":
      daemon.kill();
      fleet.restart(daemon);
  }
  await advanceInSteps(bench.clock, step.waitMs, STEP_MS);
}

/** Notes what ready daemons serve with; gives those that serve with less than their predecessors. */
function findEarlyReadiness(
  { fleet }: Bench,
  served: Map<string, number>,
): string[] {
  return fleet.daemons.filter(({ spread }) => spread.isConfirmed).flatMap(
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

/** Runs steps, heals everything, and gives what is wrong in the history. */
async function runSchedule(
  steps: readonly Step[],
  createHolder = () => new ConfigurationHolder(),
): Promise<string[]> {
  const bench = createBench(17, createHolder);
  const { fleet } = bench;
  await startFleet(bench);
  const served = new Map<string, number>();
  const early: string[] = [];
  for (const step of steps) {
    await applyStep(bench, step);
    early.push(...findEarlyReadiness(bench, served));
  }
  fleet.setFaults({ isDown: false, answersFromPast: false });
  DOMAINS.forEach(({ name }) => fleet.setCut(name, false));
  await advanceInSteps(bench.clock, SETTLE_MS, 4 * STEP_MS);
  const last = await accept(bench, 9_999);
  await advanceInSteps(bench.clock, SETTLE_MS, 4 * STEP_MS);
  const behind = fleet.daemons.filter(({ holder }) => holder.version !== last);
  const unready = fleet.daemons.filter(({ spread }) => !spread.isConfirmed);
  fleet.stop();
  return [
    ...early,
    ...findReversions(fleet.events),
    ...behind.map(({ holder, self }) =>
      `${self.incarnation} stayed at ${holder.version} of ${last}`
    ),
    ...unready.map(({ self }) => `${self.incarnation} did not become ready`),
  ];
}

test("whatever is cut, down or restarted, versions only rise and all end at the last accepted one", async () => {
  await fc.assert(
    fc.asyncProperty(stepsArbitrary, async (steps) => {
      assert.equal(await runSchedule(steps), []);
    }),
    { seed: 602, numRuns: 40 },
  );
});

test("the check catches a holder that does not compare versions", async () => {
  const details = await fc.check(
    fc.asyncProperty(stepsArbitrary, async (steps) => {
      const createHolder = () => new ForgetfulHolder();
      assert.equal(await runSchedule(steps, createHolder), []);
    }),
    { seed: 602, numRuns: 40, endOnFailure: true },
  );
  assert.ok(details.failed);
  const { actual } = details.errorInstance as { actual: string[] };
  assert.match(actual.join("\n"), /went from/);
});

test.run();
