import { suite } from "uvu";
import * as assert from "uvu/assert";
import { InstanceLoad } from "../testing/instance_load.ts";
import type { LoadOutcome } from "../testing/instance_load.ts";
import { RandomSource } from "../time/mod.ts";

const test = suite("uneven servers under load");

const VMS = 16;
const SLOTS = 4;
const WORK_MS = 100;
const SLOW_RATIO = 0.15;
const SLOWDOWN = 2.5;
const SLOW_PHASE_MS = 600;
const WARM_UP_MS = 5_000;
const DURATION_MS = 25_000;
const LATENCY_BOUND_MS = 300;

/** A quarter of the daemons receive all requests, and it moves on each second. */
const SWING_MS = 1_000;
const HOT_SHARE = 4;
const SEEDS = [1, 2, 3];

/** Share of the capacity left by the slow phases. */
const SPEED_LEFT = 1 - SLOW_RATIO + SLOW_RATIO / SLOWDOWN;

/**
 * Runs instances of speed 0.5 to 1.5, each slow for a share of its time, under a
 * demand that moves from daemon to daemon.
 */
async function runLoad(
  loadRatio: number,
  { seed, isSlownessStated }: { seed: number; isSlownessStated: boolean },
): Promise<readonly LoadOutcome[]> {
  const random = new RandomSource(seed + 100);
  const vms = Array.from({ length: VMS }, (_, index) => ({
    domain: "gent-a",
    slots: SLOTS,
    speed: 0.5 + index / (VMS - 1),
  }));
  const phases = vms.map(() => ({
    offsetMs: random.nextFloat() * SLOW_PHASE_MS,
    isSlow: Array.from(
      { length: Math.ceil(DURATION_MS / SLOW_PHASE_MS) + 3 },
      () => random.nextFloat() < SLOW_RATIO,
    ),
  }));
  const perSecond = loadRatio * SPEED_LEFT * VMS * SLOTS * 1_000 / WORK_MS;
  const load = new InstanceLoad({
    ...{ vms, seed, isSlownessStated, isSpillControlled: false },
    durationMs: DURATION_MS,
    meanWorkMs: WORK_MS,
    targetLatencyMs: LATENCY_BOUND_MS,
    computeRate: (vm, atMs) =>
      (Math.floor(atMs / SWING_MS) + vm) % HOT_SHARE === 0
        ? perSecond * HOT_SHARE / VMS
        : 0,
    computeSlowness: (vm, atMs) => {
      const phase = phases[vm];
      const index = Math.floor((atMs + (phase?.offsetMs ?? 0)) / SLOW_PHASE_MS);
      return phase?.isSlow[index] ? SLOWDOWN : 1;
    },
    computeDelayMs: () => 1,
  });
  return (await load.run()).filter(({ atMs }) => atMs >= WARM_UP_MS);
}

function isInTime({ isServed, latencyMs }: LoadOutcome): boolean {
  return isServed && latencyMs <= LATENCY_BOUND_MS;
}

function computeRatio(
  outcomes: readonly LoadOutcome[],
  matches: (outcome: LoadOutcome) => boolean,
): number {
  return outcomes.filter(matches).length / outcomes.length;
}

for (const seed of SEEDS) {
  test(`at 0.7 of the capacity, 0.995 are served and 0.95 within three times the mean work (seed ${seed})`, async () => {
    const outcomes = await runLoad(0.7, { seed, isSlownessStated: true });
    const served = computeRatio(outcomes, ({ isServed }) => isServed);
    const intime = computeRatio(outcomes, isInTime);
    assert.ok(served >= 0.995, `${served} served`);
    assert.ok(intime >= 0.95, `${intime} within ${LATENCY_BOUND_MS} ms`);
    assert.ok(outcomes.every(({ handBacks }) => handBacks <= 2));
  });

  test(`at 0.9 of the capacity, hand-backs cause no collapse (seed ${seed})`, async () => {
    const outcomes = await runLoad(0.9, { seed, isSlownessStated: true });
    const usual = await runLoad(0.9, { seed, isSlownessStated: false });
    const served = computeRatio(outcomes, ({ isServed }) => isServed);
    assert.ok(served >= 0.95, `${served} served`);
    const intime = computeRatio(outcomes, isInTime);
    const usualIntime = computeRatio(usual, isInTime);
    assert.ok(intime >= usualIntime, `${intime} < ${usualIntime}`);
  });
}

test("without the fourth figure no call is handed back, however slow its VM is", async () => {
  const outcomes = await runLoad(0.9, { seed: 1, isSlownessStated: false });
  assert.is(outcomes.filter(({ handBacks }) => handBacks > 0).length, 0);
});

test.run();
