/**
 * Measures the memory that member records occupy.
 */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { RatioEvictionLimiter } from "../../membership/mod.ts";
import { MemberTable } from "../../membership/member_table.ts";
import { createSimulatedRecord } from "../../testing/simulated_fleet.ts";
import { ManualClock } from "../../testing/manual_clock.ts";

/** Heap used by a member table with a given number of records. */
export interface RecordSample {
  readonly records: number;
  readonly heapBytes: number;
}

/**
 * Measures the heap used by member tables of several sizes.
 *
 * @param recordCounts - Numbers of records to measure
 * @returns One sample per number of records
 *
 * @example
 * const samples = measureRecordBytes([1_000, 2_000, 4_000]);
 */
export function measureRecordBytes(
  recordCounts: readonly number[],
): RecordSample[] {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  return recordCounts.map((records) => {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const table = fillTable(records);
    collectGarbage();
    const heapBytes = process.memoryUsage().heapUsed - before;
    return { records: table.size, heapBytes };
  });
}

function fillTable(records: number): MemberTable {
  const clock = new ManualClock();
  const table = new MemberTable({
    self: createSimulatedRecord({ failureDomain: "domain-0" }),
    clock,
    evictionLimiter: new RatioEvictionLimiter(clock),
    onChange: () => undefined,
  });
  for (let index = 1; index < records; index += 1) {
    table.merge(JSON.parse(JSON.stringify(createSimulatedRecord({
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
      startedAtMs: 1_800_000_000_000 + index,
      failureDomain: `domain-${index % 16}`,
      service: `service-${index % 700}`,
    }))));
  }
  return table;
}
