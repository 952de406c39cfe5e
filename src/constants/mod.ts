/**
 * Constants shared by several folders: protocol limits, timeouts and header
 * names.
 */

/** Version of the peer protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** Maximum size of a frame between daemons, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

/** Maximum size of a body in one frame, in bytes; larger bodies are sent in chunks of this size. */
export const CHUNK_BYTES = 65_536;

/** Interval between heartbeats on a peer connection with calls in progress, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Interval between heartbeats on an idle peer connection, in milliseconds. */
export const IDLE_HEARTBEAT_INTERVAL_MS = 10_000;

/**
 * Time without a response after which a second connection to the peer is opened,
 * in milliseconds; if that one works, the first no longer delivers. One heartbeat
 * interval, and more than a round trip between regions.
 */
export const HEARTBEAT_DOUBT_MS = 200;

/** Time without a response after which a peer connection is replaced, in milliseconds. */
export const HEARTBEAT_SUSPECT_MS = 750;

/** Time without a response after which a replaced connection is closed, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 5_000;

/** Timeout for opening a peer connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Interval at which a backend server renews its announcement, in milliseconds. */
export const ANNOUNCEMENT_RENEW_MS = 1_000;

/** Age after which an announcement expires unless it is renewed, in milliseconds. */
export const ANNOUNCEMENT_TIMEOUT_MS = 5_000;

/** Maximum number of calls in a chain of nested calls, including the entry call. */
export const MAX_DEPTH = 32;

/** Maximum length of a header value from a caller, in bytes. */
export const MAX_HEADER_VALUE_BYTES = 512;

/** Maximum length of a path from a caller, in bytes. */
export const MAX_PATH_BYTES = 8_192;

/** HTTP header names used with callers and backend servers. */
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

/** Time by which the start of a backend server may lie in the future, since clocks are set, in milliseconds. */
export const MAX_START_AHEAD_MS = 3_600_000;
