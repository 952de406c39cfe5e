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

function createContext(changes: Partial<RetryContext> = {}): RetryContext {
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

test("does not retry a failure that a downstream hop has given up on", () => {
  const { policy } = createPolicy();
  const failure = createUnknownOutcome(REASONS.backendFailed, {
    isGivenUp: true,
  });
  assert.not(policy.acquireRetry(createContext({ failure })));
  assert.ok(policy.acquireRetry(createContext()));
});

test("retries a non-repeatable call after a refusal, but not after an unknown outcome", () => {
  const { policy } = createPolicy();
  const isRepeatable = false;
  assert.not(policy.acquireRetry(createContext({ isRepeatable })));
  const failure = createRefusal(REASONS.connectFailed);
  assert.ok(policy.acquireRetry(createContext({ isRepeatable, failure })));
});

test("does not retry a service whose instances are all overloaded", () => {
  const { policy } = createPolicy();
  const everywhere = createRefusal(REASONS.overloadedService);
  assert.not(policy.acquireRetry(createContext({ failure: everywhere })));
  const failure = createRefusal(REASONS.overloadedInstance);
  assert.ok(
    policy.acquireRetry(createContext({ failure, overloadedAttempts: 1 })),
  );
  assert.not(
    policy.acquireRetry(createContext({ failure, overloadedAttempts: 2 })),
  );
});

test("does not retry without allowance or remaining time", () => {
  const { policy } = createPolicy();
  assert.not(policy.acquireRetry(createContext({ allowance: 0 })));
  assert.not(policy.acquireRetry(createContext({ remainingMs: 0 })));
});

test("limits retries to a failing service, and successes earn more", () => {
  const { policy, budget } = createPolicy(0.5);
  const count = () => {
    let retries = 0;
    while (policy.acquireRetry(createContext())) {
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

test("refills tokens over time, separately for each service", () => {
  const { clock, policy } = createPolicy();
  assert.ok(policy.acquireRetry(createContext()));
  assert.ok(policy.acquireRetry(createContext()));
  assert.not(policy.acquireRetry(createContext()));
  assert.ok(policy.acquireRetry(createContext({ service: "price-sheets" })));
  clock.advance(5_000);
  assert.ok(policy.acquireRetry(createContext()));
  assert.not(policy.acquireRetry(createContext()));
});

test("spends no token after an attempt that reached no backend server", () => {
  const { policy, budget } = createPolicy();
  const failure = createRefusal(REASONS.connectFailed);
  for (let call = 0; call < 20; call += 1) {
    assert.ok(policy.acquireRetry(createContext({ failure })));
  }
  assert.is(budget.readTokens("stock"), 2);
  assert.not(policy.acquireRetry(createContext({ failure, allowance: 0 })));
});

test("disables retries at a retry ratio of zero", () => {
  const { policy } = createPolicy(0);
  assert.not(policy.acquireRetry(createContext()));
});

test("reserves one attempt for a lost reply if there is more than one", () => {
  const { policy } = createPolicy();
  assert.equal(
    [0, 1, 2, 3].map((left) => policy.computeNestedAllowance(left)),
    [0, 1, 1, 2],
  );
});

test("makes three attempts in the baseline, whatever a downstream hop has done", () => {
  const policy = new PerHopRetryPolicy();
  const failure = createUnknownOutcome(REASONS.backendFailed, {
    isGivenUp: true,
  });
  const answers = [1, 2, 3].map((attempts) =>
    policy.acquireRetry(createContext({ failure, attempts, allowance: 0 }))
  );
  assert.equal(answers, [true, true, false]);
});

test.run();
