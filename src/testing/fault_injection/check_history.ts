/**
 * Checks recorded histories of non-repeatable requests.
 */

import type { HistoryEvent, OutcomeEvent, RunEvent } from "./history.ts";

/** Bounds that a history is checked against. */
export interface HistoryRules {
  /** Maximum number of runs that one invocation may cause, including retries; omitted if the history has no attempts. */
  readonly maxAttemptsPerInvocation?: number;
}

/** A rule that the history of a request violates. */
export interface Violation {
  readonly rule: "ran-twice" | "false-refusal" | "wrong-answer" | "allowance";
  readonly requestId: string;
}

/**
 * Finds the rule violations in a history.
 *
 * - `ran-twice`: a service ran a request more than once.
 * - `false-refusal`: a refused request had run, or ran afterwards without another attempt.
 * - `wrong-answer`: an answer is not that of a run of its key.
 * - `allowance`: a request was attempted more often than allowed.
 *
 * @param events - Events in the order in which they happened
 * @param rules - Bounds to check against
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
    ...findDuplicateRuns(events),
    ...findFalseRefusals(events),
    ...findWrongAnswers(events),
    ...findExcessAttempts(events, rules),
  ];
}

function findDuplicateRuns(events: readonly HistoryEvent[]): Violation[] {
  const seen = new Set<string>();
  const duplicated = new Set<string>();
  for (const { requestId, service } of events.filter(isRun)) {
    const runKey = `${requestId}/${service}`;
    if (seen.has(runKey)) {
      duplicated.add(requestId);
    }
    seen.add(runKey);
  }
  return [...duplicated].map((requestId) => ({ rule: "ran-twice", requestId }));
}

/** A refused key must not have run before, nor run afterwards unless another attempt is made. */
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

/** Whether another attempt with the same key may still be in progress. */
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
    const hasMatchingRun = runs.some((run) =>
      run.key === key && run.body === body
    );
    return hasMatchingRun ? [] : [{ rule: "wrong-answer", requestId }];
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
