/**
 * Client for backend servers that implement celeryhollow's own HTTP interface.
 */

import { err, ok } from "neverthrow";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import type { CallSignal } from "../cancellation/mod.ts";
import { HEADERS } from "../constants/mod.ts";
import type { Announcement } from "../generated/types.ts";
import { RESPONSE_RANK } from "../memory/mod.ts";
import { collectBody } from "../http/collect_body.ts";
import {
  createRefusal,
  createUnknownOutcome,
  isFinalStatus,
  REASONS,
  selectAbortReason,
} from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { BackendClient } from "./backend_client.ts";
import type {
  BackendCall,
  BackendCallOptions,
  ConnectionBreak,
} from "./backend_client.ts";
import { probePort } from "./probe_port.ts";
import type { PortState } from "./probe_port.ts";

/** Codes of errors that occur before any data is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EADDRNOTAVAIL",
]);

/** Error code if nothing listens at the address. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** Codes of errors with which a connection ends. */
const BROKEN_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Sends calls over HTTP to the backend server at the announced port. */
export class HttpBackendClient extends BackendClient {
  readonly #address: string;
  #pool: Pool | undefined;
  #origin = "";

  constructor(address: string) {
    super();
    this.#address = address;
  }

  override async call(
    announcement: Announcement,
    call: BackendCall,
    options: BackendCallOptions,
  ): Promise<CallResult> {
    if (options.signal.aborted) {
      return err(
        createRefusal(REASONS.cancelled, {
          unusedAllowance: call.context.retryAllowance,
        }),
      );
    }
    try {
      const response = await this.#connect(announcement).request({
        method: call.method as "GET",
        path: call.path,
        headers: createHeaders(call),
        body: call.body.length > 0 ? call.body : null,
        signal: options.signal,
        headersTimeout: Math.max(1, call.context.remainingMs),
        bodyTimeout: Math.max(1, call.context.remainingMs),
      });
      const collected = await collectBody(response.body, {
        maxBytes: options.maxBodyBytes,
        ...{ memory: options.memory, signal: options.signal },
        classRank: RESPONSE_RANK,
      });
      if (collected.isErr()) {
        return err(createUnknownOutcome(REASONS.answerTooLarge));
      }
      const body = collected.value;
      if (!isFinalStatus(response.statusCode)) {
        return err(createUnknownOutcome(REASONS.backendFailed));
      }
      if (!hasDelimitedBody(response)) {
        return err(createUnknownOutcome(REASONS.answerTruncated));
      }
      const contentType = String(response.headers["content-type"] ?? "");
      return ok({
        status: response.statusCode,
        contentType,
        body,
        unusedAllowance: 0,
        loads: [],
      });
    } catch (cause) {
      const error = cause as Error & { code?: string };
      const connectionBreak = classifyBreak(error);
      if (connectionBreak && !options.signal.aborted) {
        options.observeBreak?.(connectionBreak);
      }
      return err(classifyError(error, options.signal));
    }
  }

  override probe({ port }: Announcement): Promise<PortState> {
    return probePort(this.#address, port);
  }

  override async close(): Promise<void> {
    await this.#pool?.close();
  }

  #connect(announcement: Announcement): Pool {
    const origin = `http://${this.#address}:${announcement.port}`;
    if (!this.#pool || this.#origin !== origin) {
      void this.#pool?.close();
      this.#pool = new Pool(origin, {
        connections: announcement.connections,
        pipelining: 1,
      });
      this.#origin = origin;
    }
    return this.#pool;
  }
}

function createHeaders(call: BackendCall): Record<string, string> {
  const { context } = call;
  const headers: Record<string, string> = {
    [HEADERS.call]: call.callToken,
    [HEADERS.requestId]: context.requestId,
    [HEADERS.className]: context.className,
    [HEADERS.member]: context.member,
    [HEADERS.tenant]: context.tenant,
    [HEADERS.deadlineMs]: String(Math.max(0, Math.floor(context.remainingMs))),
  };
  if (call.contentType !== "") {
    headers["content-type"] = call.contentType;
  }
  if (call.idempotencyKey !== "") {
    headers[HEADERS.idempotencyKey] = call.idempotencyKey;
  }
  return headers;
}

/** Whether a complete body can be distinguished from one cut off by the end of the connection. */
function hasDelimitedBody(
  { statusCode, headers }: Dispatcher.ResponseData,
): boolean {
  return statusCode === 204 || statusCode === 304 ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

function classifyBreak(
  { code = "" }: { code?: string },
): ConnectionBreak | undefined {
  if (code === CONNECTION_REFUSED_CODE) {
    return "refused";
  }
  return BROKEN_CODES.has(code) ? "broken" : undefined;
}

function classifyError(cause: Error & { code?: string }, signal: CallSignal) {
  if (NOT_SENT_CODES.has(cause.code ?? "")) {
    return createRefusal(REASONS.noBackendServer);
  }
  return createUnknownOutcome(
    signal.aborted ? selectAbortReason(signal) : REASONS.backendFailed,
  );
}
