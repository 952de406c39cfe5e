/**
 * Open-loop load generator: requests arrive as a Poisson process with a seeded
 * random source, independently of the outcomes of earlier requests.
 */

import { TestCaller } from "../../testing/test_caller.ts";
import { RandomSource } from "../../time/mod.ts";
import { KeyPool } from "./key_pool.ts";
import type { LoadPhase, LoadPlan, RequestKind } from "./load_plan.ts";
import { LoadRecorder } from "./load_recorder.ts";
import type { LoadReport } from "./load_report.ts";
import { sendWithRetries } from "./send_with_retries.ts";

const MS_PER_SECOND = 1_000;

/**
 * Runs the phases of a load plan in sequence and waits until every request has
 * ended.
 *
 * @param plan - Phases, request kinds and caller behavior
 * @returns Counts by bucket and class, and latencies; the promise rejects if the
 *   plan has no request kind or no entry URL
 *
 * @example
 * const report = await driveLoad({ phases, kinds, behavior, entryUrls, ...rest });
 */
export async function driveLoad(plan: LoadPlan): Promise<LoadReport> {
  const caller = plan.caller ?? new TestCaller();
  const run: LoadRun = {
    plan,
    caller,
    keys: new KeyPool(caller),
    random: new RandomSource(plan.randomSeed),
    recorder: new LoadRecorder(plan.bucketMs),
    pending: new Set(),
    startedAtMs: performance.now(),
    requestCount: 0,
  };
  const phaseStartsMs: Record<string, number> = {};
  let phaseStartMs = 0;
  for (const phase of plan.phases) {
    phaseStartsMs[phase.name] = phaseStartMs;
    await plan.onPhase?.(phase);
    await drivePhase(run, phase, phaseStartMs);
    phaseStartMs += phase.durationMs;
  }
  await Promise.all(run.pending);
  await caller.close();
  return run.recorder.createReport(phaseStartsMs);
}

interface LoadRun {
  readonly plan: LoadPlan;
  readonly caller: TestCaller;
  readonly keys: KeyPool;
  readonly random: RandomSource;
  readonly recorder: LoadRecorder;
  readonly pending: Set<Promise<void>>;
  readonly startedAtMs: number;
  requestCount: number;
}

async function drivePhase(
  run: LoadRun,
  phase: LoadPhase,
  startMs: number,
): Promise<void> {
  const endMs = startMs + phase.durationMs;
  for (
    let dueMs = startMs + sampleInterarrivalMs(run.random, phase);
    dueMs < endMs;
    dueMs += sampleInterarrivalMs(run.random, phase)
  ) {
    await sleepUntil(run.startedAtMs + dueMs);
    startRequest(run);
  }
  await sleepUntil(run.startedAtMs + endMs);
}

/** Samples an exponentially distributed interarrival time, in milliseconds. */
function sampleInterarrivalMs(random: RandomSource, phase: LoadPhase): number {
  return -Math.log(1 - random.nextFloat()) * MS_PER_SECOND /
    phase.requestsPerSecond;
}

async function sleepUntil(atMs: number): Promise<void> {
  const remainingMs = atMs - performance.now();
  if (remainingMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, remainingMs));
  }
}

function startRequest(run: LoadRun): void {
  const kind = sampleKind(run);
  const entryUrl = run.random.choose(run.plan.entryUrls);
  if (!kind || entryUrl === undefined) {
    throw new Error(
      "a load plan needs at least one request kind and one entry URL",
    );
  }
  const member = `member-${run.random.nextInteger(run.plan.memberCount)}`;
  run.requestCount += 1;
  const request = sendRequest(run, kind, {
    entryUrl,
    member,
    number: run.requestCount,
  })
    .finally(() => run.pending.delete(request));
  run.pending.add(request);
}

/** Picks a request kind at random, in proportion to the weights. */
function sampleKind({ plan, random }: LoadRun): RequestKind | undefined {
  const total = plan.kinds.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.nextFloat() * total;
  return plan.kinds.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  }) ?? plan.kinds.at(-1);
}

interface SampledRequest {
  readonly entryUrl: string;
  readonly member: string;
  readonly number: number;
}

async function sendRequest(
  run: LoadRun,
  kind: RequestKind,
  { entryUrl, member, number }: SampledRequest,
): Promise<void> {
  const { plan, caller, keys, recorder } = run;
  const requestId = `${plan.requestIdPrefix}-${number}`;
  const idempotencyKey = kind.isRepeatable ? "" : await keys.take(entryUrl);
  const startedAtMs = performance.now() - run.startedAtMs;
  const { service, method, className } = kind;
  const path = `${kind.pathPrefix}/${number}`;
  const call = { entryUrl, service, method, path, requestId, member };
  const result = await sendWithRetries(
    caller,
    { ...call, idempotencyKey },
    plan.behavior,
  );
  recorder.record({
    ...result,
    requestId,
    className,
    startedAtMs,
    endedAtMs: performance.now() - run.startedAtMs,
  });
}
