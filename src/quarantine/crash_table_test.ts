import { test } from "uvu";
import * as assert from "uvu/assert";
import { CRASH_RETENTION_MS, CrashTable } from "./crash_table.ts";
import type { Crash } from "./crash_table.ts";

const REQUEST = "aaaaaaaaaaaa";
const START_MS = 1_800_000_000_000;
const STEP_MS = 10_000;

function createCrash(index: number, changes: Partial<Crash> = {}): Crash {
  return {
    processId: `process-${index}`,
    vmAddress: `10.0.0.${index}`,
    service: "stock",
    atMs: START_MS + index * STEP_MS,
    callCount: 1,
    ...changes,
  };
}

function createTable(indexes: readonly number[]): CrashTable {
  const table = new CrashTable();
  indexes.forEach((index) => table.addCrash(REQUEST, createCrash(index)));
  return table;
}

function isQuarantined(table: CrashTable, nowMs: number): boolean {
  return table.findQuarantineEndMs(REQUEST, nowMs) !== undefined;
}

test("the third crash quarantines a request, and it is free when too few are left", () => {
  const table = createTable([0, 1]);
  const nowMs = START_MS + 2 * STEP_MS;
  assert.is(isQuarantined(table, nowMs), false);
  table.addCrash(REQUEST, createCrash(2));
  const endMs = table.findQuarantineEndMs(REQUEST, nowMs);
  assert.is(endMs, START_MS + CRASH_RETENTION_MS);
  assert.is(isQuarantined(table, START_MS + CRASH_RETENTION_MS - 1), true);
  assert.is(isQuarantined(table, START_MS + CRASH_RETENTION_MS), false);
});

test("a crash that is told several times counts once", () => {
  const table = createTable([0, 1]);
  assert.is(table.addCrash(REQUEST, createCrash(1)), false);
  assert.is(table.addCrash(REQUEST, createCrash(0)), false);
  assert.is(isQuarantined(table, START_MS + STEP_MS), false);
});

test("two sides of a partition that exchange their crashes count the same", () => {
  const [one, other] = [createTable([0, 2, 4]), createTable([1, 2, 3])];
  [1, 3].forEach((index) => one.addCrash(REQUEST, createCrash(index)));
  [4, 0].forEach((index) => other.addCrash(REQUEST, createCrash(index)));
  const nowMs = START_MS + 5 * STEP_MS;
  assert.equal(
    one.listCrashes(REQUEST, nowMs),
    other.listCrashes(REQUEST, nowMs),
  );
  assert.is(one.listCrashes(REQUEST, nowMs).length, 5);
});

test("a clean run clears the crashes before it and shortly after it, whenever it is told", () => {
  const table = createTable([0, 1, 2]);
  const nowMs = START_MS + 3 * STEP_MS;
  table.addCleanRun(REQUEST, START_MS + STEP_MS);
  assert.is(isQuarantined(table, nowMs), false);
  const remaining = table.listCrashes(REQUEST, nowMs);
  assert.equal(remaining.map(({ processId }) => processId), ["process-2"]);
  table.addCleanRun(REQUEST, START_MS);
  assert.equal(table.listCrashes(REQUEST, nowMs), remaining);
  table.addCleanRun(REQUEST, START_MS + 2 * STEP_MS - 500);
  assert.equal(table.listCrashes(REQUEST, nowMs), []);
});

test("the number of requests and crashes that are remembered is bounded", () => {
  const table = new CrashTable();
  for (let index = 0; index < 5_000; index += 1) {
    table.addCrash(`request-${index}`, createCrash(index));
  }
  assert.is(table.size, 4_096);
  assert.is(table.listCrashes("request-0", START_MS).length, 0);
  for (let index = 0; index < 100; index += 1) {
    table.addCrash(REQUEST, createCrash(index, { atMs: START_MS + index }));
  }
  const crashes = table.listCrashes(REQUEST, START_MS + 100);
  assert.is(crashes.length, 16);
  assert.is(crashes.at(-1)?.processId, "process-99");
});

test("requests are forgotten when their last crash has expired", () => {
  const table = createTable([0, 1]);
  table.removeExpired(START_MS + CRASH_RETENTION_MS + 1);
  assert.is(table.size, 1);
  table.removeExpired(START_MS + STEP_MS + CRASH_RETENTION_MS + 1);
  assert.is(table.size, 0);
});

test.run();
