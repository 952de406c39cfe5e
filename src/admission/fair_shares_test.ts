import { test } from "uvu";
import * as assert from "uvu/assert";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { ManualClock } from "../testing/manual_clock.ts";
import { AdaptiveAdmission } from "./adaptive_admission.ts";

const SLOTS = 18;
const DURATION_MS = 30_000;

/** Keeps a gate full of short nested and long direct calls; returns the limits that it used. */
async function runMixedCalls(member: string): Promise<number[]> {
  const clock = new ManualClock();
  const journal = new DecisionJournal(clock);
  const gate = new AdaptiveAdmission({
    ...{ clock, journal, metrics: new DaemonMetrics(), instance: 1 },
    listReservedRatios: () => [0, 0],
  });
  gate.setCapacity(SLOTS);
  const call = async (depth: number, durationMs: number) => {
    const permit = await gate.acquire({
      context: {
        ...{
          requestId: `${clock.monotonicMs()}.1`,
          requestName: "read",
          depth,
        },
        ...{ className: "reads", member, tenant: "other", retryAllowance: 0 },
        ...{ remainingMs: 60_000, isRepeatable: true, isBulk: false },
      },
      ...{ service: "stock", classRank: depth > 0 ? 0 : 1 },
      deadlineAtMs: clock.monotonicMs() + 60_000,
      signal: new AbortController().signal,
    });
    if (permit.isOk()) {
      await new Promise<void>((resolve) =>
        clock.schedule(durationMs, () => resolve())
      );
      const ownDurationMs = durationMs;
      permit.value.release({
        ...{ durationMs, ownDurationMs, isAnswered: true, isShed: false },
      });
    }
  };
  for (let atMs = 0; atMs < DURATION_MS; atMs += 10) {
    // Alternating shares of both kinds, so that the mean duration changes.
    const isMostlyLong = Math.floor(atMs / 2_000) % 2 === 1;
    void call(1, 30);
    void call(1, 30);
    if (isMostlyLong || atMs % 100 === 0) {
      void call(0, 475);
    }
    clock.advance(10);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return journal.list({ kind: "limit-change" }).map(({ facts }) =>
    Number(facts.to)
  );
}

// Without accounts, all calls counted as one kind, and a mixture of short and long ones as a slowdown.
for (const member of ["a", ""]) {
  test(`an instance keeps its slots when calls of one kind take longer than those of another (${member === "" ? "without accounts" : "with accounts"})`, async () => {
    const limits = await runMixedCalls(member);
    assert.equal(limits, [SLOTS]);
  });
}

test.run();
