/**
 * Checking of histories of non-repeatable requests.
 */

import type { HistoryEvent, OutcomeEvent, RunEvent } from "./history.ts";

/** What a history is checked against. */
export interface HistoryRules {
  /** Runs by a daemon that one invocation may ask for, retries included; left out where the history has no attempts. */
  readonly maxAttemptsPerInvocation?: number;
}

/** A broken rule. */
export interface Violation {
  readonly rule: "ran-twice" | "false-refusal" | "wrong-answer" | "allowance";
  readonly requestId: string;
}

/**
 * Finds every broken rule of a history.
 *
 * @param events - Events in the order in which they happened
 * @param rules - Bounds to check
 * @returns The violations
 *
 * @example
 * assert.equal(checkHistory(history.events, { maxAttemptsPerInvocation: 6 }), []);
 */
export function checkHistory(
  events: readonly HistoryEvent[],
  rules: HistoryRules,
): Violation[] {
  return [
    ...findDoubleRuns(events),
    ...findFalseRefusals(events),
    ...findWrongAnswers(events),
    ...findExcessAttempts(events, rules),
  ];
}

function findDoubleRuns(events: readonly HistoryEvent[]): Violation[] {
  const seen = new Set<string>();
  const doubled = new Set<string>();
  for (const { requestId, service } of events.filter(isRun)) {
    const name = `${requestId}/${service}`;
    if (seen.has(name)) {
      doubled.add(requestId);
    }
    seen.add(name);
  }
  return [...doubled].map((requestId) => ({ rule: "ran-twice", requestId }));
}

/** A refused key has not run before, and does not run afterwards unless another attempt was made. */
function findFalseRefusals(events: readonly HistoryEvent[]): Violation[] {
  return events.flatMap((event, index): Violation[] => {
    if (event.kind !== "outcome" || event.outcome !== "refused") {
      return [];
    }
    const { key, requestId } = event;
    const next = events.findIndex((other, at) =>
      at > index && other.kind === "invoke" && other.key === key
    );
    const end = hasOpenAttempt(events.slice(0, index), event) ? index : next;
    const relevant = events.slice(0, end < 0 ? events.length : end);
    const hasRun = relevant.some((other) => isRun(other) && other.key === key);
    return hasRun ? [{ rule: "false-refusal", requestId }] : [];
  });
}

/** Whether another attempt under the key may still be under way. */
function hasOpenAttempt(
  events: readonly HistoryEvent[],
  { key, attempt }: OutcomeEvent,
): boolean {
  return events.some((event) =>
    event.kind === "outcome" && event.key === key &&
    event.attempt !== attempt && event.outcome !== "refused"
  );
}

function findWrongAnswers(events: readonly HistoryEvent[]): Violation[] {
  const runs = events.filter(isRun);
  return events.flatMap((event): Violation[] => {
    if (event.kind !== "outcome" || event.outcome !== "answered") {
      return [];
    }
    const { key, body, requestId } = event;
    const isRight = runs.some((run) => run.key === key && run.body === body);
    return isRight ? [] : [{ rule: "wrong-answer", requestId }];
  });
}

function findExcessAttempts(
  events: readonly HistoryEvent[],
  { maxAttemptsPerInvocation }: HistoryRules,
): Violation[] {
  if (maxAttemptsPerInvocation === undefined) {
    return [];
  }
  const invocations = countByRequest(events, "invoke");
  const attempts = countByRequest(events, "attempt");
  return [...attempts].filter(([requestId, count]) =>
    count > (invocations.get(requestId) ?? 0) * maxAttemptsPerInvocation
  ).map(([requestId]) => ({ rule: "allowance", requestId }));
}

function countByRequest(
  events: readonly HistoryEvent[],
  kind: HistoryEvent["kind"],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const event of events.filter((each) => each.kind === kind)) {
    counts.set(event.requestId, (counts.get(event.requestId) ?? 0) + 1);
  }
  return counts;
}

function isRun(event: HistoryEvent): event is RunEvent {
  return event.kind === "run";
}
