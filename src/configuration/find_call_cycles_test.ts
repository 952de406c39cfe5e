import { test } from "uvu";
import * as assert from "uvu/assert";
import { findCallCycles } from "./find_call_cycles.ts";

test("finds a cycle with its services in order, and none in a tree", () => {
  const services = [
    { name: "a", calls: ["b", "c"] },
    { name: "b", calls: ["c", "unknown"] },
    { name: "c", calls: ["d"] },
    { name: "d", calls: ["b"] },
    { name: "e", calls: ["e"] },
  ];
  assert.equal(findCallCycles(services), [["b", "c", "d", "b"], ["e", "e"]]);
  const tree = services.map((each) => ({
    ...each,
    calls: each.calls.filter((called) => called > each.name),
  }));
  assert.equal(findCallCycles(tree), []);
});

// Guards against an end of the process by a configuration that a daemon takes: the
// stack for a long chain, and the memory for services that all call each other.
test("a chain of 100,000 services and 1,000 that call each other are searched", () => {
  const chain = Array.from({ length: 100_000 }, (_, index) => ({
    name: `s${index}`,
    calls: [`s${index + 1}`],
  }));
  assert.equal(findCallCycles(chain), []);
  const names = Array.from({ length: 1_000 }, (_, index) => `s${index}`);
  const cycles = findCallCycles(names.map((name) => ({ name, calls: names })));
  assert.ok(cycles.length > 0 && cycles.length <= 32, `${cycles.length}`);
});

test.run();
