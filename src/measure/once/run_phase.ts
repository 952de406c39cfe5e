/**
 * Runs one phase of the `once` experiment: non-repeatable requests at a constant
 * rate, with a fault injected during the phase.
 */

import type { TestCaller } from "../../testing/test_caller.ts";
import type { Fleet, RunningVm } from "../fleet.ts";
import { sendNonRepeatableRequest } from "./send_non_repeatable_request.ts";
import type {
  CallerContext,
  NonRepeatableOutcome,
} from "./send_non_repeatable_request.ts";

/** Load of a phase and the fault injected in it. */
export interface OncePhase {
  readonly name: string;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** Time of the fault after the start of the phase. */
  readonly faultAtMs: number;
  readonly injectFault?: () => Promise<void> | void;
  /** VM that fails; callers do not use it as an entry in this phase. */
  readonly failingVm?: RunningVm;
  /** Whether all keys are issued by the failing VM's daemon. */
  readonly usesKeysOfFailingVm?: boolean;
}

/** Outcome of one request. */
export interface PhaseOutcome extends NonRepeatableOutcome {
  /** Scheduled start of the request, relative to the start of the phase. */
  readonly atMs: number;
}

/** Fleet, client and history of a run. */
export interface PhaseRun extends CallerContext {
  readonly fleet: Fleet;
}

const MAX_ATTEMPTS = 5;
const DEADLINE_MS = 1_500;
const KEYS_PER_FETCH = 100;
const MS_PER_SECOND = 1_000;

/**
 * Sends requests at a constant rate and injects the fault at its time.
 *
 * @param run - Fleet, client and history
 * @param phase - Rate, duration and fault
 * @returns The outcome of each request
 *
 * @example
 * const outcomes = await runPhase({ fleet, caller, history }, phase);
 */
export async function runPhase(
  run: PhaseRun,
  phase: OncePhase,
): Promise<PhaseOutcome[]> {
  const { durationMs, requestsPerSecond, faultAtMs, injectFault } = phase;
  const count = Math.round(durationMs * requestsPerSecond / MS_PER_SECOND);
  const keys = await fetchKeys(run, phase, count);
  const startedAtMs = performance.now();
  const fault = sleepUntil(startedAtMs + faultAtMs).then(() => injectFault?.());
  const pending: Promise<PhaseOutcome>[] = [];
  for (let index = 0; index < count; index += 1) {
    const atMs = index * MS_PER_SECOND / requestsPerSecond;
    await sleepUntil(startedAtMs + atMs);
    const request = {
      requestId: `${phase.name}-${index}`,
      key: keys[index] ?? "",
      entryUrls: listEntryUrls(run.fleet, phase, index),
      deadlineMs: DEADLINE_MS,
    };
    pending.push(
      sendNonRepeatableRequest(run, request).then((result) => ({
        ...result,
        atMs,
      })),
    );
  }
  const outcomes = await Promise.all(pending);
  await fault;
  return outcomes;
}

function listEntryUrls(
  { vms }: Fleet,
  { failingVm }: OncePhase,
  index: number,
): string[] {
  const availableVms = vms.filter(({ plan }) =>
    plan.address !== failingVm?.plan.address
  );
  return Array.from(
    { length: MAX_ATTEMPTS },
    (_, attempt) =>
      availableVms[(index + attempt * 5) % availableVms.length]?.entryUrl ?? "",
  );
}

async function fetchKeys(
  { caller, fleet }: PhaseRun,
  { failingVm, usesKeysOfFailingVm }: OncePhase,
  count: number,
): Promise<string[]> {
  const holders = failingVm && usesKeysOfFailingVm
    ? [failingVm.entryUrl]
    : fleet.entryUrls;
  const keysPerHolder = Math.ceil(count / holders.length);
  const fetched = await Promise.all(
    holders.map((url) => fetchKeysFrom(caller, url, keysPerHolder)),
  );
  return Array.from(
    { length: count },
    (_, index) =>
      fetched[index % holders.length]?.[Math.floor(index / holders.length)] ??
        "",
  );
}

async function fetchKeysFrom(
  caller: TestCaller,
  url: string,
  count: number,
): Promise<string[]> {
  const keys: string[] = [];
  while (keys.length < count) {
    keys.push(...await caller.fetchKeys(url, KEYS_PER_FETCH));
  }
  return keys;
}

async function sleepUntil(atMs: number): Promise<void> {
  const delayMs = Math.max(0, atMs - performance.now());
  await new Promise((resolve) => setTimeout(resolve, delayMs));
}
