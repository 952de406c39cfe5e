/** Client attempts, each on a connection of its own. */

import type { Buffer } from "node:buffer";
import { request as sendRequest } from "node:http";
import { HOST, PORTS } from "./deployment.ts";
import { now } from "./time.ts";

/** Time after its time limit until a client closes its connection, in milliseconds. */
const PATIENCE_MS = 1_000;

/** A client attempt. */
export interface Attempt {
  readonly address: string;
  readonly attemptId: string;
  readonly path: string;
  readonly method?: "GET" | "POST";
  readonly body?: string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What became of a client attempt. */
export interface Outcome {
  readonly attemptId: string;
  readonly path: string;
  /** Status of a complete answer; 0 without one. */
  readonly status: number;
  /** Whether the answer bears an instance's seal. */
  readonly isSealed: boolean;
  readonly body: string;
  readonly error: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

/**
 * Sends a client attempt.
 *
 * @param attempt - The attempt
 * @returns Its outcome; never rejects
 */
export function send(attempt: Attempt): Promise<Outcome> {
  const { address, attemptId, path, method = "GET", body } = attempt;
  const { deadlineMs, headers } = attempt;
  const sentAtMs = now();
  return new Promise((resolve) => {
    const end = (result: Partial<Outcome>) =>
      resolve({
        ...{ attemptId, path, status: 0, isSealed: false, body: "" },
        ...{ error: "", sentAtMs, endedAtMs: now(), ...result },
      });
    const request = sendRequest({
      ...{ host: address, port: PORTS.callers, method, path, agent: false },
      headers: {
        host: HOST,
        "attempt-id": attemptId,
        "deadline-ms": String(deadlineMs),
        ...headers,
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => text += chunk.toString());
      response.once("error", (error) => end({ error: error.message }));
      response.once("end", () =>
        end({
          status: response.statusCode ?? 0,
          isSealed: response.headers["server-seal"] !== undefined,
          body: text,
        }));
    });
    request.once("error", (error) => end({ error: error.message }));
    request.setTimeout(deadlineMs + PATIENCE_MS, () => request.destroy());
    request.end(body);
  });
}
