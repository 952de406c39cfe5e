import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryAllowance } from "./retry_allowance.ts";

const SEED = 41;

interface Child {
  readonly expectedCalls: number;
  /** Share of its loan that it spends. */
  readonly spentRatio: number;
  /** Whether its reply is lost or its caller has gone. */
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

test("nested calls, in parallel or in turn, never spend more than the allowance together", () => {
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

test("a reply that claims more than was lent brings back no more than the loan", () => {
  const allowance = new RetryAllowance(3);
  const lent = allowance.lend(1);
  allowance.takeBack(lent, 50);
  assert.is(allowance.remaining, 3);
});

test("calls in turn get everything that is left", () => {
  const allowance = new RetryAllowance(3);
  const first = allowance.lend(2);
  assert.is(first, 2);
  allowance.takeBack(first, 1);
  assert.is(allowance.lend(1), 2);
});

test("nothing is lent after the call has ended", () => {
  const allowance = new RetryAllowance(3);
  assert.is(allowance.close(), 3);
  assert.is(allowance.lend(1), 0);
});

test.run();
