/**
 * One phase of non-repeatable load with a fault in it.
 */

import type { TestCaller } from "../../testing/test_caller.ts";
import type { Fleet, RunningVm } from "../fleet.ts";
import { sendNonRepeatableRequest } from "./send_non_repeatable_request.ts";
import type {
  CallerContext,
  NonRepeatableOutcome,
} from "./send_non_repeatable_request.ts";

/** A phase and its fault. */
export interface OncePhase {
  readonly name: string;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** When the fault is brought about, after the start of the phase. */
  readonly faultAtMs: number;
  readonly injectFault?: () => Promise<void> | void;
  /** VM that fails; callers don't start there once it has. */
  readonly failingVm?: RunningVm;
  /** Whether every key is one that the failing VM's daemon issued. */
  readonly usesKeysOfFailingVm?: boolean;
}

/** What became of one request. */
export interface PhaseOutcome extends NonRepeatableOutcome {
  /** Start of the request after the start of the phase, in milliseconds. */
  readonly atMs: number;
}

/** Fleet and callers of an experiment. */
export interface PhaseRun extends CallerContext {
  readonly fleet: Fleet;
}

const MAX_ATTEMPTS = 5;
const DEADLINE_MS = 1_500;
const KEYS_PER_FETCH = 100;
const MS_PER_SECOND = 1_000;

/**
 * Sends requests at a steady rate, with the fault in the middle.
 *
 * @param run - Fleet and callers
 * @param phase - Rate, length and fault
 * @returns What became of each request
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
