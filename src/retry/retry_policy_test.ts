import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  createRefusal,
  createUnknownOutcome,
  REASONS,
} from "../outcome/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { RetryBudget } from "./retry_budget.ts";
import { AllowanceRetryPolicy, PerHopRetryPolicy } from "./retry_policy.ts";
import type { RetryContext } from "./retry_policy.ts";

const test = suite("retry policy");

function createQuestion(changes: Partial<RetryContext> = {}): RetryContext {
  return {
    failure: createUnknownOutcome(REASONS.backendFailed),
    service: "stock",
    attempts: 1,
    overloadedAttempts: 0,
    allowance: 3,
    isRepeatable: true,
    remainingMs: 1_000,
    ...changes,
  };
}

function createPolicy(retryRatio = 0.1) {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock, () => retryRatio);
  return { clock, budget, policy: new AllowanceRetryPolicy(budget) };
}

test("a failure that a deeper hop has given up on is not retried", () => {
  const { policy } = createPolicy();
  const failure = createUnknownOutcome(REASONS.backendFailed, {
    isGivenUp: true,
  });
  assert.not(policy.acquireRetry(createQuestion({ failure })));
  assert.ok(policy.acquireRetry(createQuestion()));
});

test("an unknown outcome of a non-repeatable call is not retried, a refusal is", () => {
  const { policy } = createPolicy();
  const isRepeatable = false;
  assert.not(policy.acquireRetry(createQuestion({ isRepeatable })));
  const failure = createRefusal(REASONS.connectFailed);
  assert.ok(policy.acquireRetry(createQuestion({ isRepeatable, failure })));
});

test("a service that is overloaded everywhere is not retried", () => {
  const { policy } = createPolicy();
  const everywhere = createRefusal(REASONS.overloadedService);
  assert.not(policy.acquireRetry(createQuestion({ failure: everywhere })));
  const failure = createRefusal(REASONS.overloadedInstance);
  assert.ok(
    policy.acquireRetry(createQuestion({ failure, overloadedAttempts: 1 })),
  );
  assert.not(
    policy.acquireRetry(createQuestion({ failure, overloadedAttempts: 2 })),
  );
});

test("nothing is retried without allowance or time", () => {
  const { policy } = createPolicy();
  assert.not(policy.acquireRetry(createQuestion({ allowance: 0 })));
  assert.not(policy.acquireRetry(createQuestion({ remainingMs: 0 })));
});

test("a service that always fails gets few retries, and successes earn more", () => {
  const { policy, budget } = createPolicy(0.5);
  const count = () => {
    let retries = 0;
    while (policy.acquireRetry(createQuestion())) {
      retries += 1;
    }
    return retries;
  };
  assert.is(count(), 2);
  assert.is(count(), 0);
  for (let call = 0; call < 6; call += 1) {
    policy.recordSuccess("stock");
  }
  assert.is(count(), 3);
  for (let call = 0; call < 1_000; call += 1) {
    policy.recordSuccess("stock");
  }
  assert.is(budget.readTokens("stock"), 10);
});

test("tokens trickle in with time and belong to one edge", () => {
  const { clock, policy } = createPolicy();
  assert.ok(policy.acquireRetry(createQuestion()));
  assert.ok(policy.acquireRetry(createQuestion()));
  assert.not(policy.acquireRetry(createQuestion()));
  assert.ok(policy.acquireRetry(createQuestion({ service: "price-sheets" })));
  clock.advance(5_000);
  assert.ok(policy.acquireRetry(createQuestion()));
  assert.not(policy.acquireRetry(createQuestion()));
});

test("a retry after an attempt that reached nobody spends no token", () => {
  const { policy, budget } = createPolicy();
  const failure = createRefusal(REASONS.connectFailed);
  for (let call = 0; call < 20; call += 1) {
    assert.ok(policy.acquireRetry(createQuestion({ failure })));
  }
  assert.is(budget.readTokens("stock"), 2);
  assert.not(policy.acquireRetry(createQuestion({ failure, allowance: 0 })));
});

test("a retry ratio of zero switches retries off", () => {
  const { policy } = createPolicy(0);
  assert.not(policy.acquireRetry(createQuestion()));
});

test("a hop keeps one attempt for a lost reply when it has more than one", () => {
  const { policy } = createPolicy();
  assert.equal(
    [0, 1, 2, 3].map((left) => policy.computeNestedAllowance(left)),
    [0, 1, 1, 2],
  );
});

test("the baseline tries three times whatever a deeper hop has done", () => {
  const policy = new PerHopRetryPolicy();
  const failure = createUnknownOutcome(REASONS.backendFailed, {
    isGivenUp: true,
  });
  const answers = [1, 2, 3].map((attempts) =>
    policy.acquireRetry(createQuestion({ failure, attempts, allowance: 0 }))
  );
  assert.equal(answers, [true, true, false]);
});

test.run();
