import { test } from "uvu";
import * as assert from "uvu/assert";
import { ManualClock } from "../testing/manual_clock.ts";
import { RetryBudget } from "./retry_budget.ts";
import { shareRetrySlack } from "./share_retry_slack.ts";

const WINDOW_MS = 10_000;
const STEP_MS = 100;

function createBudgets(
  clock: ManualClock,
  slack: number,
  daemons: number,
): RetryBudget[] {
  return Array.from({ length: daemons }, (_, index) => {
    const bounds = shareRetrySlack(slack, { daemons, index });
    return new RetryBudget(clock, () => 0.1, () => bounds);
  });
}

/** Every daemon retries as often as it may, in every window from the start. */
test("keeps the retries of all daemons without successes within the slack in any window", () => {
  for (const [daemons, slack] of [[17, 48], [88, 117], [300, 112], [5, 3]]) {
    const clock = new ManualClock();
    const budgets = createBudgets(clock, slack ?? 0, daemons ?? 1);
    const spentAtMs: number[] = [];
    for (let atMs = 0; atMs < 4 * WINDOW_MS; atMs += STEP_MS) {
      for (const budget of budgets) {
        while (budget.spend("stock")) {
          spentAtMs.push(atMs);
        }
      }
      const inWindow = spentAtMs.filter((each) => each > atMs - WINDOW_MS);
      assert.ok(inWindow.length <= (slack ?? 0), `${daemons} daemons`);
      clock.advance(STEP_MS);
    }
  }
});

/** Nothing failed for a while, and then every daemon needs a retry at once. */
test("keeps the retries after a quiet time within the slack", () => {
  for (const [daemons = 1, slack = 0] of [[300, 112], [195, 213], [50, 3]]) {
    const clock = new ManualClock();
    const budgets = createBudgets(clock, slack, daemons);
    budgets.forEach((budget) => budget.readTokens("stock"));
    clock.advance(6 * WINDOW_MS);
    let spent = 0;
    for (let atMs = 0; atMs < WINDOW_MS; atMs += STEP_MS) {
      for (const budget of budgets) {
        while (budget.spend("stock")) {
          spent += 1;
        }
      }
      clock.advance(STEP_MS);
    }
    assert.ok(spent <= slack, `${spent} of ${slack}, ${daemons} daemons`);
    assert.ok(spent >= slack / 3, `${spent} of ${slack}, ${daemons} daemons`);
  }
});

test("lets a daemon with a small share save up one retry from successes", () => {
  const budget = new RetryBudget(
    new ManualClock(),
    () => 0.1,
    () => shareRetrySlack(10, { daemons: 1_000, index: 0 }),
  );
  assert.not(budget.spend("stock"));
  Array.from({ length: 11 }, () => budget.earn("stock"));
  assert.ok(budget.spend("stock"));
});

test.run();
