/**
 * A backend server inside the test process that records what it runs.
 */

import { err, ok } from "neverthrow";
import { BackendClient } from "../../backend/mod.ts";
import type { BackendCall, BackendCallOptions } from "../../backend/mod.ts";
import type { Announcement } from "../../generated/types.ts";
import { createUnknownOutcome, REASONS } from "../../outcome/mod.ts";
import type { CallResult } from "../../outcome/mod.ts";
import type { RandomSource } from "../../time/mod.ts";
import type { History } from "./history.ts";

/** Makes the deeper call of a running call, if it makes one. */
export type CallDeeper = (call: BackendCall) => Promise<void>;

/** Dependencies of the backend server. */
export interface RecordingBackendOptions {
  readonly history: History;
  readonly random: RandomSource;
  readonly service: string;
  readonly callDeeper: CallDeeper;
}

const LONG_ANSWER_BYTES = 150_000;
const LONG_ANSWER_RATIO = 0.1;
const MAX_SERVICE_MS = 60;

/** Records each run before it answers it. */
export class RecordingBackend extends BackendClient {
  /** Whether its connections break in the middle of each answer. */
  isBreaking = false;
  /** Whether the VM has failed: nothing more happens here. */
  isDead = false;
  readonly #options: RecordingBackendOptions;
  #runs = 0;

  constructor(options: RecordingBackendOptions) {
    super();
    this.#options = options;
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  override async call(
    _announcement: Announcement,
    call: BackendCall,
    options: BackendCallOptions,
  ): Promise<CallResult> {
    if (this.isDead) {
      return await new Promise(() => undefined);
    }
    const { history, random, service, callDeeper } = this.#options;
    const { requestId } = call.context;
    this.#runs += 1;
    const filler = random.nextFloat() < LONG_ANSWER_RATIO
      ? "x".repeat(LONG_ANSWER_BYTES)
      : "";
    const body = `${service} ran ${requestId} as ${this.#runs} ${filler}`;
    const key = call.idempotencyKey;
    history.add({ kind: "run", requestId, service, key, body });
    await Promise.all([callDeeper(call), callDeeper(call)]);
    const serviceMs = random.nextInteger(MAX_SERVICE_MS);
    await new Promise((resolve) => setTimeout(resolve, serviceMs));
    if (this.isBreaking || options.signal.aborted) {
      return err(createUnknownOutcome(REASONS.backendFailed));
    }
    return ok({
      status: 200,
      contentType: "text/plain",
      body: new TextEncoder().encode(body),
      unusedAllowance: 0,
      loads: [],
    });
  }
}
