import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { RandomSource } from "../time/mod.ts";
import { AccountDemand } from "./account_demand.ts";
import { computeFairLevel } from "./compute_fair_level.ts";

const STEP_MS = 10;

/** Share of the admitted requests that is served; with more, no account would be cut. */
const SUCCESS_RATIO = 0.8;

/** Offers requests for a time and returns the share that was admitted, by account. */
function runDemand(
  ratesPerSecond: readonly number[],
  { ratio, durationMs = 60_000 }: { ratio: number; durationMs?: number },
): { ratios: number[]; total: number } {
  const clock = new ManualClock();
  const demand = new AccountDemand(clock);
  const random = new RandomSource(7);
  const offered = ratesPerSecond.map(() => 0);
  const admitted = ratesPerSecond.map(() => 0);
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    ratesPerSecond.forEach((rate, index) => {
      if (random.nextFloat() < rate * STEP_MS / 1_000) {
        const account = `account-${index}`;
        demand.recordRequest(account);
        const admitRatio = demand.computeRatio(account, {
          ratio,
          servedRatio: 0.8 * ratio,
        });
        offered[index] = (offered[index] ?? 0) + 1;
        if (random.nextFloat() < admitRatio) {
          admitted[index] = (admitted[index] ?? 0) + 1;
          demand.recordStart(account);
          demand.recordEnd(account, random.nextFloat() < SUCCESS_RATIO);
        }
      }
    });
    clock.advance(STEP_MS);
  }
  const sum = (counts: readonly number[]) =>
    counts.reduce((total, count) => total + count, 0);
  return {
    ratios: admitted.map((count, index) =>
      count / Math.max(1, offered[index] ?? 0)
    ),
    total: sum(admitted) / sum(offered),
  };
}

test("cuts only the accounts above the level, so that the admitted share is met", () => {
  const others = { requests: 0, demand: 0 };
  const level = computeFairLevel([10, 20, 170], {
    budget: 100,
    others,
  });
  assert.ok(Math.abs(level - 70) < 0.1, `${level}`);
});

// An entry sees a small account a few times in the memory of its counts.
test("small accounts beside a large one are admitted whole", () => {
  const { ratios } = runDemand([35, ...Array(6).fill(1.7)], { ratio: 0.5 });
  const [large = 0, ...small] = ratios;
  assert.ok(Math.min(...small) > 0.97, ratios.join(" "));
  assert.ok(large < 0.45, `${large}`);
});

// Counts of 0.2 requests a second differ by chance; cutting the higher ones would refuse some accounts for it.
test("73 equal accounts with few requests are cut alike", () => {
  const { ratios, total } = runDemand(Array(73).fill(0.2), {
    ...{ ratio: 0.5, durationMs: 600_000 },
  });
  assert.ok(Math.abs(total - 0.5) < 0.06, `${total}`);
  assert.ok(Math.min(...ratios) > 0.3, ratios.join(" "));
  assert.ok(Math.max(...ratios) < 0.7, ratios.join(" "));
});

// Among many accounts that are cut, one that asks for a multiple would get next to nothing of it.
test("an account that asks for 20 times what the others do gets half of the share of all", () => {
  const { ratios } = runDemand([4, ...Array(50).fill(0.2)], {
    ...{ ratio: 0.3, durationMs: 600_000 },
  });
  assert.ok((ratios[0] ?? 0) > 0.1, `${ratios[0]}`);
});

test("the state is bounded with 100,000 accounts, and the admitted share is met", () => {
  const clock = new ManualClock();
  const demand = new AccountDemand(clock);
  const random = new RandomSource(3);
  let admitted = 0;
  for (let index = 0; index < 100_000; index += 1) {
    const account = `account-${random.nextInteger(100_000)}`;
    demand.recordRequest(account);
    admitted += demand.computeRatio(account, { ratio: 0.5, servedRatio: 0.5 });
    clock.advance(1);
  }
  assert.ok(demand.size <= 64, `${demand.size} accounts`);
  assert.ok(Math.abs(admitted / 100_000 - 0.5) < 0.1, `${admitted}`);
});

test.run();
