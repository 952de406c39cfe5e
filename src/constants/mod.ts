/**
 * Named constants with their units, shared by several folders.
 */

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** Largest frame between daemons, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

/** Bodies up to this size travel in one frame, in bytes. */
export const CHUNK_BYTES = 65_536;

/** Interval between heartbeats on a peer connection with calls in progress, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Interval between heartbeats on an idle peer connection, in milliseconds. */
export const IDLE_HEARTBEAT_INTERVAL_MS = 10_000;

/** Time without an answer after which a peer connection is replaced, in milliseconds. */
export const HEARTBEAT_SUSPECT_MS = 750;

/** Time without an answer after which a replaced connection is given up, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 5_000;

/** Time allowed for opening a peer connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Interval at which a backend server renews its announcement, in milliseconds. */
export const ANNOUNCEMENT_RENEW_MS = 1_000;

/** Age after which an announcement that was not renewed lapses, in milliseconds. */
export const ANNOUNCEMENT_TIMEOUT_MS = 5_000;

/** Deepest chain of calls that is served. */
export const MAX_DEPTH = 32;

/** Longest header value taken from a caller, in bytes. */
export const MAX_HEADER_VALUE_BYTES = 512;

/** Longest path taken from a caller, in bytes. */
export const MAX_PATH_BYTES = 8_192;

/** Names of the HTTP headers that callers and backend servers see. */
export const HEADERS = {
  requestId: "celeryhollow-request-id",
  idempotencyKey: "celeryhollow-key",
  attempt: "celeryhollow-attempt",
  member: "celeryhollow-member",
  tenant: "celeryhollow-tenant",
  className: "celeryhollow-class",
  deadlineMs: "celeryhollow-deadline-ms",
  nonRepeatable: "celeryhollow-non-repeatable",
  call: "celeryhollow-call",
  outcome: "celeryhollow-outcome",
  reason: "celeryhollow-reason",
  retryAfterMs: "celeryhollow-retry-after-ms",
} as const;
