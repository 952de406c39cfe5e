/**
 * Compares the latency of non-repeatable requests with that of repeatable requests.
 */

import { build as buildHistogram } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { TestCaller } from "../../testing/test_caller.ts";

/** Median latency of repeatable requests and the latency that idempotency keys add to it. */
export interface LatencyComparison {
  readonly repeatableP50Ms: number;
  /** For keys that the entry daemon holds. */
  readonly addedMs: number;
  /** For keys that another daemon holds, to which the entry forwards the request. */
  readonly addedForwardedMs: number;
}

const CALLS_PER_KIND = 1_000;
const MEDIAN_PERCENTILE = 50;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Sends, in alternation, repeatable requests, requests with a key issued by their
 * entry and requests with a key issued by another daemon.
 *
 * @param caller - Client that sends the requests
 * @param entryUrls - Entry of all requests, and the daemon that issues the other keys
 * @returns Median and added latencies, in milliseconds
 *
 * @example
 * const { addedMs } = await compareLatency(caller, [entryUrl, holderUrl]);
 */
export async function compareLatency(
  caller: TestCaller,
  [entryUrl, holderUrl]: readonly [string, string],
): Promise<LatencyComparison> {
  const histograms = {
    repeatable: createHistogram(),
    held: createHistogram(),
    forwarded: createHistogram(),
  };
  for (let index = 0; index < CALLS_PER_KIND; index += 1) {
    const [ownKey = ""] = await caller.fetchKeys(entryUrl, 1);
    const [otherKey = ""] = await caller.fetchKeys(holderUrl, 1);
    const send = (kind: keyof typeof histograms, idempotencyKey: string) =>
      timeCall(caller, histograms[kind], {
        entryUrl,
        path: idempotencyKey === "" ? "/notes/1" : "/deliveries/1",
        requestId: `${kind}-${index}`,
        idempotencyKey,
      });
    await send("repeatable", "");
    await send("held", ownKey);
    await send("forwarded", otherKey);
  }
  const median = (histogram: Histogram) =>
    histogram.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROSECONDS_PER_MS;
  const repeatableP50Ms = median(histograms.repeatable);
  const computeAddedMs = (histogram: Histogram) =>
    Number((median(histogram) - repeatableP50Ms).toFixed(3));
  return {
    repeatableP50Ms,
    addedMs: computeAddedMs(histograms.held),
    addedForwardedMs: computeAddedMs(histograms.forwarded),
  };
}

interface TimedCall {
  readonly entryUrl: string;
  readonly path: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
}

async function timeCall(
  caller: TestCaller,
  histogram: Histogram,
  call: TimedCall,
): Promise<void> {
  const { outcome, durationMs } = await caller.send({
    ...call,
    service: "delivery-ledger",
    method: "POST",
    member: "member-1",
    timeoutMs: 2_000,
  });
  if (outcome === "answered") {
    histogram.recordValue(
      Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)),
    );
  }
}

function createHistogram(): Histogram {
  return buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}
