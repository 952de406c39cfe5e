import { readFile } from "node:fs/promises";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { computeCapacity, MEMBERS_PER_DOMAIN } from "./compute_capacity.ts";
import { fitLine } from "./fit_line.ts";
import { MEMBERSHIP_LINE_NAMES } from "./measurements.ts";
import type { Measurements } from "./measurements.ts";
import { renderCapacity } from "./render_capacity.ts";

const FLAT_LINE = { slope: 0, intercept: 0, residualRatio: 0 };

function createMeasurements(): Measurements {
  const slopes = Object.fromEntries(
    MEMBERSHIP_LINE_NAMES.map((name) => [name, FLAT_LINE]),
  ) as Measurements["membership"]["slopes"];
  return {
    measuredOn: "2026-01-01",
    membership: {
      detectP99Ms: 1,
      falseEvictions: 0,
      slopes: {
        ...slopes,
        memberBytesByMembers: { slope: 2, intercept: 100, residualRatio: 0.1 },
        memberBytesByDomains: { slope: 3, intercept: 999, residualRatio: 0.2 },
      },
      recordBytes: FLAT_LINE,
      processes: [],
      samples: [],
    },
    entryCpuMsPerCall: FLAT_LINE,
    backendCpuMsPerCall: FLAT_LINE,
    callSamples: [],
    keyBytes: FLAT_LINE,
  };
}

test("a line fitted through collinear points has no residual", () => {
  const line = fitLine([1, 2, 5].map((x) => ({ x, y: 3 * x + 4 })));
  assert.ok(Math.abs(line.slope - 3) < 1e-9);
  assert.ok(Math.abs(line.intercept - 4) < 1e-9);
  assert.ok(line.residualRatio < 1e-9);
});

test("a point off the fitted line increases the residual", () => {
  const points = [{ x: 0, y: 0 }, { x: 1, y: 2 }, { x: 2, y: 0 }];
  assert.ok(fitLine(points).residualRatio > 0.5);
});

test("capacity is extrapolated over members and failure domains to the target size", () => {
  const [traffic] = computeCapacity(createMeasurements());
  assert.is(traffic?.value, 100 + 2 * MEMBERS_PER_DOMAIN + 3 * 12);
  assert.is(traffic?.residualRatio, 0.2);
});

test("the committed capacity page matches the committed measurements", async () => {
  const read = (file: string) => readFile(file, "utf8");
  const measurements = JSON.parse(
    await read("src/measure/capacity/measured.json"),
  ) as Measurements;
  assert.is(
    await read("docs/CAPACITY.md"),
    renderCapacity(
      measurements,
      await read("src/measure/capacity/notes.md"),
    ),
  );
});

test.run();
