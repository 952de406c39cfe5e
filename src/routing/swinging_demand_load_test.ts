import { suite } from "uvu";
import * as assert from "uvu/assert";
import { InstanceLoad } from "../testing/instance_load.ts";
import type { LoadOutcome } from "../testing/instance_load.ts";
import { RandomSource } from "../time/mod.ts";

const test = suite("demand that swings between failure domains");

const VMS = 12;
const WORK_MS = 100;
const SLOW_RATIO = 1 / 7;
const SLOWDOWN = 2.5;
const SLOW_PHASE_MS = 600;
const LATENCY_BOUND_MS = 3 * WORK_MS;
const WARM_UP_MS = 5_000;
const DURATION_MS = 20_000;
const SWING_MS = 1_000;

const OWN_REGION = "vlaanderen";

/** Distance between the speeds of neighbouring VMs; it has no common factor with their number. */
const SPEED_STEP = 7;

/** Share of the capacity that is asked for, and the part of it that slow phases leave. */
const LOAD_RATIO = 0.7;
const SPEED_LEFT = 1 - SLOW_RATIO + SLOW_RATIO / SLOWDOWN;

interface SwingPlan {
  /** Whether the VMs of a domain are every second one, so that all requests of a second enter in one domain. */
  readonly isWholeDomain: boolean;
  readonly otherRegion: string;
  readonly delayMs: number;
  readonly slots: number;
  readonly seed: number;
}

/**
 * Runs two domains whose instances have speeds of 0.5 to 1.5 and are slow at
 * times. The requests of each second enter at every second or fourth VM.
 */
async function runLoad(
  { isWholeDomain, otherRegion, delayMs, slots, seed }: SwingPlan,
): Promise<readonly LoadOutcome[]> {
  const random = new RandomSource(seed + 100);
  const hotPeriod = isWholeDomain ? 2 : 4;
  const vms = Array.from({ length: VMS }, (_, index) => {
    const isOther = isWholeDomain ? index % 2 === 1 : index >= VMS / 2;
    return {
      domain: isOther ? "gent-b" : "gent-a",
      region: isOther ? otherRegion : OWN_REGION,
      slots,
      speed: 0.5 + index * SPEED_STEP % VMS / (VMS - 1),
    };
  });
  const phases = vms.map(() => ({
    offsetMs: random.nextFloat() * SLOW_PHASE_MS,
    isSlow: Array.from(
      { length: Math.ceil(DURATION_MS / SLOW_PHASE_MS) + 3 },
      () => random.nextFloat() < SLOW_RATIO,
    ),
  }));
  const perSecond = LOAD_RATIO * SPEED_LEFT * VMS * slots * 1_000 / WORK_MS;
  const load = new InstanceLoad({
    ...{ vms, seed, isSlownessStated: true, isSpillControlled: false },
    durationMs: DURATION_MS,
    meanWorkMs: WORK_MS,
    targetLatencyMs: LATENCY_BOUND_MS,
    computeRate: (vm, atMs) =>
      (Math.floor(atMs / SWING_MS) + vm) % hotPeriod === 0
        ? hotPeriod * perSecond / VMS
        : 0,
    computeSlowness: (vm, atMs) => {
      const phase = phases[vm];
      const index = Math.floor((atMs + (phase?.offsetMs ?? 0)) / SLOW_PHASE_MS);
      return phase?.isSlow[index] ? SLOWDOWN : 1;
    },
    computeDelayMs: (from, to) => from.domain === to.domain ? 0.5 : delayMs,
  });
  return (await load.run()).filter(({ atMs }) => atMs >= WARM_UP_MS);
}

function computeRatio(
  outcomes: readonly LoadOutcome[],
  matches: (outcome: LoadOutcome) => boolean,
): number {
  return outcomes.filter(matches).length / outcomes.length;
}

const PLANS = [
  { name: "of a region", otherRegion: OWN_REGION, delayMs: 1 },
  { name: "of two regions", otherRegion: "wallonie", delayMs: 30 },
];

// Guards against calls that are refused in a domain which is full for a second,
// although the other domain has room.
for (const { name, ...plan } of PLANS) {
  for (const slots of [4, 18]) {
    for (const seed of [1, 2]) {
      test(`two domains ${name} that are asked in turn serve 0.995 (${slots} slots, seed ${seed})`, async () => {
        const outcomes = await runLoad({
          ...{ ...plan, slots, seed },
          isWholeDomain: true,
        });
        const served = computeRatio(outcomes, ({ isServed }) => isServed);
        assert.ok(served >= 0.995, `${served} served`);
      });
    }
  }
}

for (const seed of [1, 2, 3]) {
  test(`demand that moves between daemons of two domains is served, 0.95 within three times the mean work (seed ${seed})`, async () => {
    const outcomes = await runLoad({
      ...{ otherRegion: OWN_REGION, delayMs: 1, slots: 4, seed },
      isWholeDomain: false,
    });
    const served = computeRatio(outcomes, ({ isServed }) => isServed);
    const inTime = computeRatio(
      outcomes,
      ({ isServed, latencyMs }) => isServed && latencyMs <= LATENCY_BOUND_MS,
    );
    assert.ok(served >= 0.995, `${served} served`);
    assert.ok(inTime >= 0.95, `${inTime} within ${LATENCY_BOUND_MS} ms`);
  });
}

test.run();
