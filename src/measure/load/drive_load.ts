/**
 * Open-loop load: requests begin at seeded random times, whatever became of
 * earlier ones.
 */

import { TestCaller } from "../../testing/test_caller.ts";
import { RandomSource } from "../../time/mod.ts";
import { KeyPool } from "./key_pool.ts";
import type { LoadKind, LoadPhase, LoadPlan } from "./load_plan.ts";
import { LoadRecorder } from "./load_recorder.ts";
import type { LoadReport } from "./load_report.ts";
import { sendWithRetries } from "./send_with_retries.ts";

const MS_PER_SECOND = 1_000;

/**
 * Drives the phases of a plan one after the other and waits for every request.
 *
 * @param plan - Phases, kinds of requests and behavior of the callers
 * @returns Counts by period and class, and latencies
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
    count: 0,
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
  count: number;
}

async function drivePhase(
  run: LoadRun,
  phase: LoadPhase,
  startMs: number,
): Promise<void> {
  const endMs = startMs + phase.durationMs;
  for (
    let dueMs = startMs + drawGapMs(run.random, phase);
    dueMs < endMs;
    dueMs += drawGapMs(run.random, phase)
  ) {
    await sleepUntil(run.startedAtMs + dueMs);
    beginRequest(run);
  }
  await sleepUntil(run.startedAtMs + endMs);
}

function drawGapMs(random: RandomSource, phase: LoadPhase): number {
  return -Math.log(1 - random.nextFloat()) * MS_PER_SECOND /
    phase.requestsPerSecond;
}

async function sleepUntil(atMs: number): Promise<void> {
  const leftMs = atMs - performance.now();
  if (leftMs > 0) {
    await new Promise((resolve) => setTimeout(resolve, leftMs));
  }
}

function beginRequest(run: LoadRun): void {
  const kind = drawKind(run);
  const entryUrl = run.random.choose(run.plan.entryUrls);
  if (!kind || entryUrl === undefined) {
    throw new Error("a load plan needs a kind and an entry");
  }
  const member = `member-${run.random.nextInteger(run.plan.memberCount)}`;
  run.count += 1;
  const request = sendOne(run, kind, { entryUrl, member, number: run.count })
    .finally(() => run.pending.delete(request));
  run.pending.add(request);
}

function drawKind({ plan, random }: LoadRun): LoadKind | undefined {
  const total = plan.kinds.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.nextFloat() * total;
  return plan.kinds.find(({ weight }) => {
    left -= weight;
    return left < 0;
  }) ?? plan.kinds.at(-1);
}

interface RequestDraw {
  readonly entryUrl: string;
  readonly member: string;
  readonly number: number;
}

async function sendOne(
  run: LoadRun,
  kind: LoadKind,
  { entryUrl, member, number }: RequestDraw,
): Promise<void> {
  const { plan, caller, keys, recorder } = run;
  const requestId = `${plan.requestIdPrefix}-${number}`;
  const idempotencyKey = kind.isRepeatable ? "" : await keys.take(entryUrl);
  const startedAtMs = performance.now() - run.startedAtMs;
  const { service, method, className } = kind;
  const path = `${kind.pathPrefix}/${number}`;
  const call = { entryUrl, service, method, path, requestId, member };
  const end = await sendWithRetries(
    caller,
    { ...call, idempotencyKey },
    plan.behavior,
  );
  recorder.record({
    ...end,
    requestId,
    className,
    startedAtMs,
    endedAtMs: performance.now() - run.startedAtMs,
  });
}
