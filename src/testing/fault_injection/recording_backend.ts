/**
 * Backend server in the test process that records its runs in a history.
 */

import { err, ok } from "neverthrow";
import { BackendClient } from "../../backend/mod.ts";
import type {
  BackendCall,
  BackendCallOptions,
  PortState,
} from "../../backend/mod.ts";
import type { Announcement } from "../../generated/types.ts";
import { createUnknownOutcome, REASONS } from "../../outcome/mod.ts";
import type { CallResult } from "../../outcome/mod.ts";
import type { RandomSource } from "../../time/mod.ts";
import type { History } from "./history.ts";

/** Makes the nested call of a running call, if it has one. */
export type MakeNestedCall = (call: BackendCall) => Promise<void>;

/** Dependencies of the backend server. */
export interface RecordingBackendOptions {
  readonly history: History;
  readonly random: RandomSource;
  readonly service: string;
  readonly makeNestedCall: MakeNestedCall;
}

const LONG_RESPONSE_BYTES = 150_000;
const LONG_RESPONSE_RATIO = 0.1;
const MAX_SERVICE_TIME_MS = 60;

/** Backend client that records each run before it responds, and can simulate failures. */
export class RecordingBackend extends BackendClient {
  /** Whether connections break in the middle of each response. */
  breaksResponses = false;
  /** Whether the VM has crashed: new calls neither run nor end. */
  isCrashed = false;
  readonly #options: RecordingBackendOptions;
  #runs = 0;

  constructor(options: RecordingBackendOptions) {
    super();
    this.#options = options;
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  override probe(): Promise<PortState> {
    return Promise.resolve(this.isCrashed ? "unknown" : "open");
  }

  override async call(
    _announcement: Announcement,
    call: BackendCall,
    options: BackendCallOptions,
  ): Promise<CallResult> {
    if (this.isCrashed) {
      return await new Promise(() => undefined);
    }
    const { history, random, service, makeNestedCall } = this.#options;
    const { requestId } = call.context;
    this.#runs += 1;
    const filler = random.nextFloat() < LONG_RESPONSE_RATIO
      ? "x".repeat(LONG_RESPONSE_BYTES)
      : "";
    const body = `${service} ran ${requestId} as ${this.#runs} ${filler}`;
    const key = call.idempotencyKey;
    history.add({ kind: "run", requestId, service, key, body });
    await Promise.all([makeNestedCall(call), makeNestedCall(call)]);
    const serviceTimeMs = random.nextInteger(MAX_SERVICE_TIME_MS);
    await new Promise((resolve) => setTimeout(resolve, serviceTimeMs));
    if (this.breaksResponses || options.signal.aborted) {
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
