/**
 * Whether both sides of a connection give and follow grants for bodies.
 *
 * The side that opened the connection adds a note to its calls until it knows.
 * A peer that supports grants answers with one; a peer of an older build ignores
 * the note and sends and expects bodies without any.
 */

import type { CallMessage } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";
import type { FrameWriter } from "./frame_writer.ts";

/** Name of the note, a header field of a call, which a peer of an older build accepts. */
const GRANT_NOTE = "celeryhollow-grants";

/** Time after which a peer that has not answered the note is taken for an older build, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;

/** What a connection knows of its peer. */
export class GrantSupport {
  readonly #clock: Clock;
  readonly #writer: FrameWriter;
  #state: "unknown" | "supported" | "refused" = "unknown";
  #cancelTimeout: (() => void) | undefined;

  constructor(clock: Clock, writer: FrameWriter) {
    this.#clock = clock;
    this.#writer = writer;
  }

  /** Whether it is not known yet. */
  get isUnknown(): boolean {
    return this.#state === "unknown";
  }

  /** Whether the peer gives and follows grants. */
  get isSupported(): boolean {
    return this.#state === "supported";
  }

  /** Whether the peer is of an older build. */
  get isRefused(): boolean {
    return this.#state === "refused";
  }

  /** Waits for the answer to a note, and sends bodies without grants if there is none. */
  awaitAnswer(): void {
    this.#cancelTimeout ??= this.#clock.schedule(ANSWER_TIMEOUT_MS, () => {
      if (this.isUnknown) {
        this.#state = "refused";
        this.#writer.grantAll();
      }
    });
  }

  /** Records that the peer supports grants. */
  recordSupport(): void {
    this.#state = "supported";
    this.close();
  }

  /** Stops waiting. */
  close(): void {
    this.#cancelTimeout?.();
  }
}

/**
 * Adds the note that this daemon gives and follows grants.
 *
 * @param head - A call message
 * @returns The message with the note
 *
 * @example
 * writer.sendWithBody(withGrantNote(head), body, { grantedBytes: 0 });
 */
export function withGrantNote(head: CallMessage): CallMessage {
  return { ...head, headers: [...head.headers ?? [], GRANT_NOTE, "1"] };
}

/**
 * Extracts the note from a call message.
 *
 * @param message - The message
 * @returns The message without the note, and whether it had one
 *
 * @example
 * const { head, hasNote } = extractGrantNote(message);
 */
export function extractGrantNote(
  message: CallMessage,
): { head: CallMessage; hasNote: boolean } {
  const { headers = [] } = message;
  const index = headers.lastIndexOf(GRANT_NOTE);
  if (index < 0 || index % 2 !== 0) {
    return { head: message, hasNote: false };
  }
  return {
    head: {
      ...message,
      headers: [...headers.slice(0, index), ...headers.slice(index + 2)],
    },
    hasNote: true,
  };
}
