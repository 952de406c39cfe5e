import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseSubset } from "./choose_subset.ts";

const SEED = 43;
const SIZE = 8;

function createInstances(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    incarnation: `127.0.${index >> 8}.${index & 255}:7102/1800000000000`,
  }));
}

test("subsets are bounded, and removing an instance changes at most one entry", () => {
  fc.assert(
    fc.property(
      fc.string({ minLength: 1 }),
      fc.integer({ min: 1, max: 60 }),
      fc.nat(),
      (own, count, removedIndex) => {
        const instances = createInstances(count);
        const before = chooseSubset(own, instances, SIZE);
        assert.is(before.length, Math.min(SIZE, count));
        const removed = instances[removedIndex % count];
        const after = new Set(
          chooseSubset(own, instances.filter((each) => each !== removed), SIZE),
        );
        const kept = before.filter((each) => after.has(each));
        assert.ok(kept.length >= before.length - 1);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test("the subsets of many callers cover all instances evenly", () => {
  const instances = createInstances(100);
  const uses = new Map<string, number>();
  for (const caller of createInstances(400)) {
    for (
      const { incarnation } of chooseSubset(
        `caller ${caller.incarnation}`,
        instances,
        SIZE,
      )
    ) {
      uses.set(incarnation, (uses.get(incarnation) ?? 0) + 1);
    }
  }
  const counts = [...uses.values()];
  assert.is(counts.length, 100);
  assert.ok(Math.max(...counts) < 3 * 400 * SIZE / 100);
});

test.run();
