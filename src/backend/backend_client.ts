/**
 * Interface of clients that call the backend server on this VM.
 */

import type { CallSignal } from "../cancellation/mod.ts";
import type { Announcement, CallContext } from "../generated/types.ts";
import type { HeldMemory } from "../memory/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { PortState } from "./probe_port.ts";
import { NO_STATEMENT } from "./server_statement.ts";
import type { ServerStatement } from "./server_statement.ts";

/** A call to the backend server. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** End-to-end header fields of the caller, as alternating names and values, if they are forwarded. */
  readonly headers?: readonly string[] | undefined;
  /** Service of the VM on which the call originated, if it is passed to backend servers. */
  readonly callerService?: string | undefined;
  readonly body: Uint8Array;
  readonly context: CallContext;
  readonly idempotencyKey: string;
  /** Token by which the backend server identifies this call when it makes nested calls. */
  readonly callToken: string;
}

/** Options of a call. */
export interface BackendCallOptions {
  readonly signal: CallSignal;
  /** Memory that the call holds; the response body counts against it. */
  readonly memory: HeldMemory;
  /** Limit of the response body, in bytes. */
  readonly maxBodyBytes: number;
  /** Called as soon as the head of a response to this call has arrived, whether the call succeeds or not. */
  readonly observeStatement?: (statement: ServerStatement) => void;
  /** Called if the connection broke without an abort or was refused, before the call's promise resolves. */
  readonly observeBreak?: (connectionBreak: ConnectionBreak) => void;
}

/** How a call found that the backend server may have ended: its connection `broken`, or a new one `refused`. */
export type ConnectionBreak = "broken" | "refused";

/** Sends calls to the backend server on this VM. */
export abstract class BackendClient {
  /** Sends a call; one that may have started is never reported as refused. */
  abstract call(
    announcement: Announcement,
    call: BackendCall,
    options: BackendCallOptions,
  ): Promise<CallResult>;

  /** Returns the token that the backend server will use for nested calls, or undefined if the daemon generates one and passes it on. */
  selectCallToken(_context: CallContext): string | undefined {
    return undefined;
  }

  /** Whether backend servers state limits in their responses. */
  get hasStatements(): boolean {
    return false;
  }

  /** Reads the statement of the backend server from the header fields of an answer, as alternating names and values. */
  readStatement(_headers: readonly string[]): ServerStatement {
    return NO_STATEMENT;
  }

  /** Finds out whether the backend server accepts connections; never rejects. */
  abstract probe(announcement: Announcement): Promise<PortState>;

  /** Closes idle connections. */
  abstract close(): Promise<void>;
}
