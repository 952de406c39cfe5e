/**
 * Calls to the backend server on this VM.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import type { Announcement, CallContext } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";

/** A call as the backend server receives it. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** End-to-end header fields of the caller, names and values by turns, where they travel on. */
  readonly headers?: readonly string[] | undefined;
  /** Service of the VM on which the call began, where backend servers are told. */
  readonly callerService?: string | undefined;
  readonly body: Uint8Array;
  readonly context: CallContext;
  readonly idempotencyKey: string;
  /** Names this call when the backend server calls deeper services. */
  readonly callToken: string;
}

/** Options of a call. */
export interface BackendCallOptions {
  readonly signal: CallSignal;
  readonly maxBodyBytes: number;
}

/** Sends calls to the backend server. */
export abstract class BackendClient {
  /** Runs one call; what may have been started is never reported as refused. */
  abstract call(
    announcement: Announcement,
    call: BackendCall,
    options: BackendCallOptions,
  ): Promise<CallResult>;

  /** The name that the backend server will use for a call when it makes deeper ones; undefined where it is told one. */
  selectCallToken(_context: CallContext): string | undefined {
    return undefined;
  }

  /** Ends idle connections. */
  abstract close(): Promise<void>;
}
