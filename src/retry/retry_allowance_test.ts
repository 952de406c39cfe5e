import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryAllowance } from "./retry_allowance.ts";

const SEED = 41;

interface Child {
  readonly expectedCalls: number;
  /** Share of the lent attempts that it spends. */
  readonly spentRatio: number;
  /** Whether its reply is lost or its caller has disconnected. */
  readonly isLost: boolean;
}

const children = fc.array(
  fc.record<Child>({
    expectedCalls: fc.integer({ min: 1, max: 4 }),
    spentRatio: fc.double({ min: 0, max: 1, noNaN: true }),
    isLost: fc.boolean(),
  }),
  { maxLength: 12 },
);

test("never lets parallel or sequential nested calls exceed the allowance together", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 16 }),
      children,
      fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
      (attempts, plans, endsNow) => {
        const allowance = new RetryAllowance(attempts);
        const running: { plan: Child; lent: number }[] = [];
        let spent = 0;
        const finish = () => {
          const child = running.shift();
          if (!child) {
            return;
          }
          const used = Math.floor(child.lent * child.plan.spentRatio);
          spent += used;
          const claimed = child.lent - used;
          const unused = child.plan.isLost ? 0 : claimed;
          allowance.takeBack(child.lent, unused);
        };
        for (const [index, plan] of plans.entries()) {
          running.push({ plan, lent: allowance.lend(plan.expectedCalls) });
          const lentNow = running.reduce((sum, { lent }) => sum + lent, 0);
          assert.ok(spent + lentNow + allowance.remaining <= attempts);
          if (endsNow[index]) {
            finish();
          }
        }
        while (running.length > 0) {
          finish();
        }
        assert.ok(spent + allowance.remaining <= attempts);
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

test("takes back no more than was lent", () => {
  const allowance = new RetryAllowance(3);
  const lent = allowance.lend(1);
  allowance.takeBack(lent, 50);
  assert.is(allowance.remaining, 3);
});

test("lends sequential calls all remaining attempts", () => {
  const allowance = new RetryAllowance(3);
  const first = allowance.lend(2);
  assert.is(first, 2);
  allowance.takeBack(first, 1);
  assert.is(allowance.lend(1), 2);
});

test("lends nothing after it is closed", () => {
  const allowance = new RetryAllowance(3);
  assert.is(allowance.close(), 3);
  assert.is(allowance.lend(1), 0);
});

test.run();
