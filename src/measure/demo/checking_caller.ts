/**
 * Caller that records the outcomes it receives, so that they can be checked against
 * the runs at the backend servers.
 */

import { TestCaller } from "../../testing/test_caller.ts";
import type { TestCall, TestOutcome } from "../../testing/test_caller.ts";
import type { RecordedRun } from "../../testing/backend_server_stand_in.ts";

/** Guarantees that must hold under all circumstances. */
export const GUARANTEES = {
  matchingResponse: "a response is complete and belongs to its request",
  atMostOnce: "a non-repeatable request runs at most once",
  refusedNotRun: "a request that was refused at every attempt did not run",
} as const;

/** Guarantee with the numbers of checked cases and violations. */
export interface GuaranteeFinding {
  readonly guarantee: string;
  readonly checked: number;
  readonly broken: number;
}

interface RequestHistory {
  readonly service: string;
  readonly isRepeatable: boolean;
  readonly outcomes: Set<TestOutcome["outcome"]>;
}

/** Sends calls and records their outcomes by request. */
export class CheckingCaller extends TestCaller {
  readonly #histories = new Map<string, RequestHistory>();
  #responseCount = 0;
  #wrongResponseCount = 0;

  override async send(call: TestCall): Promise<TestOutcome> {
    const history = this.#getOrCreateHistory(call);
    const reply = await super.send(call);
    history.outcomes.add(reply.outcome);
    if (reply.outcome === "answered" && reply.status === 200) {
      this.#responseCount += 1;
      this.#wrongResponseCount += isResponseTo(call, reply.text) ? 0 : 1;
    }
    return reply;
  }

  /** Checks the guarantees against the runs at all backend servers. */
  check(runs: readonly RecordedRun[]): GuaranteeFinding[] {
    const entryRuns = this.#countEntryRuns(runs);
    const histories = [...this.#histories];
    const nonRepeatable = histories.filter(([, { isRepeatable }]) =>
      !isRepeatable
    );
    const refused = histories.filter(([, { outcomes }]) =>
      outcomes.size === 1 && outcomes.has("refused-not-run")
    );
    return [
      {
        guarantee: GUARANTEES.matchingResponse,
        checked: this.#responseCount,
        broken: this.#wrongResponseCount,
      },
      {
        guarantee: GUARANTEES.atMostOnce,
        checked: nonRepeatable.length,
        broken:
          nonRepeatable.filter(([id]) => (entryRuns.get(id) ?? 0) > 1).length,
      },
      {
        guarantee: GUARANTEES.refusedNotRun,
        checked: refused.length,
        broken: refused.filter(([id]) => entryRuns.has(id)).length,
      },
    ];
  }

  #getOrCreateHistory(call: TestCall): RequestHistory {
    const known = this.#histories.get(call.requestId);
    if (known) {
      return known;
    }
    const { service, idempotencyKey = "" } = call;
    const isRepeatable = idempotencyKey === "";
    const history = { service, isRepeatable, outcomes: new Set<never>() };
    this.#histories.set(call.requestId, history);
    return history;
  }

  /** Counts the runs of each request at the service that the caller called. */
  #countEntryRuns(runs: readonly RecordedRun[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { requestId, service } of runs) {
      if (this.#histories.get(requestId)?.service === service) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
      }
    }
    return counts;
  }
}

function isResponseTo(call: TestCall, text: string): boolean {
  try {
    const answer = JSON.parse(text);
    return answer.requestId === call.requestId &&
      answer.service === call.service;
  } catch {
    return false;
  }
}
