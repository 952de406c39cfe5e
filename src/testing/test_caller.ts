/**
 * Test client that sends calls to a daemon and reads their outcomes.
 */

import { Agent } from "undici";
import { HEADERS } from "../constants/mod.ts";

/** A call to send. */
export interface TestCall {
  /** Base URL of the daemon's caller port. */
  readonly entryUrl: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly requestId: string;
  readonly member: string;
  readonly idempotencyKey?: string;
  readonly attempt?: number;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** The outcome of a call as the caller sees it. */
export interface TestOutcome {
  /** `lost` if no complete response with an outcome arrived. */
  readonly outcome: "answered" | "refused-not-run" | "unknown" | "lost";
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number;
  readonly idempotencyKey: string;
  readonly text: string;
  readonly durationMs: number;
}

const OUTCOMES: ReadonlySet<string> = new Set([
  "answered",
  "refused-not-run",
  "unknown",
]);

/** Sends calls over keep-alive connections. */
export class TestCaller {
  readonly #agent = new Agent({ connections: 512, pipelining: 1 });

  /** Sends a call; failures are reported as the outcome `lost`. */
  async send(call: TestCall): Promise<TestOutcome> {
    const startedAtMs = performance.now();
    try {
      const response = await this.#agent.request({
        origin: call.entryUrl,
        path: `/call/${call.service}${call.path}`,
        method: call.method,
        headers: createHeaders(call),
        body: call.method === "POST" ? call.body ?? "" : null,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const read = (name: string) => String(response.headers[name] ?? "");
      const text = await response.body.text();
      const outcome = read(HEADERS.outcome);
      return {
        outcome: OUTCOMES.has(outcome)
          ? outcome as TestOutcome["outcome"]
          : "lost",
        status: response.statusCode,
        reason: read(HEADERS.reason),
        retryAfterMs: Number(read(HEADERS.retryAfterMs)),
        idempotencyKey: read(HEADERS.idempotencyKey),
        text,
        durationMs: performance.now() - startedAtMs,
      };
    } catch (cause) {
      const reason = (cause as Error).name;
      const durationMs = performance.now() - startedAtMs;
      return {
        outcome: "lost",
        status: 0,
        reason,
        retryAfterMs: 0,
        idempotencyKey: "",
        text: "",
        durationMs,
      };
    }
  }

  /** Requests idempotency keys from a daemon. */
  async fetchKeys(entryUrl: string, count: number): Promise<string[]> {
    const response = await this.#agent.request({
      origin: entryUrl,
      path: `/keys?count=${count}`,
      method: "POST",
    });
    const { keys } = await response.body.json() as { keys: string[] };
    return keys;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function createHeaders(call: TestCall): Record<string, string> {
  const headers: Record<string, string> = {
    [HEADERS.requestId]: call.requestId,
    [HEADERS.member]: call.member,
    [HEADERS.deadlineMs]: String(call.timeoutMs),
    "content-type": "application/json",
  };
  if (call.idempotencyKey) {
    headers[HEADERS.idempotencyKey] = call.idempotencyKey;
  }
  if (call.attempt) {
    headers[HEADERS.attempt] = String(call.attempt);
  }
  return headers;
}
