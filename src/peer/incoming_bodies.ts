/**
 * Bodies that a connection receives in chunks.
 *
 * Memory is reserved for each body before its sender is granted any of it. The
 * body of a call that has ended is discarded.
 */

import type { CallMessage, ReplyMessage } from "../generated/types.ts";
import { BodyAssembler } from "./body_assembler.ts";

/** A message that may have a body. */
export type MessageWithBody = CallMessage | ReplyMessage;

/** Part of a body. */
export interface BodyChunk {
  readonly callId: number;
  readonly isReply: boolean;
  readonly offsetBytes: number;
  readonly body: Uint8Array;
}

/** Receives the events of {@link IncomingBodies}. */
export interface IncomingBodiesListener {
  /** Reserves memory for the body of a message; resolves to whether the body is accepted. */
  reserve(head: MessageWithBody): Promise<boolean>;
  /** The body of a call may be sent as a whole. */
  grant(head: MessageWithBody): void;
  /** A body is not accepted; nothing more of it is needed. */
  reject(head: MessageWithBody): void;
  /** A body is complete. */
  deliver(head: MessageWithBody, body: Uint8Array): void;
}

interface IncomingBody {
  readonly head: MessageWithBody;
  readonly assembler: BodyAssembler;
}

type MessageKind = MessageWithBody["kind"];

/** Collects the bodies of one connection. */
export class IncomingBodies {
  readonly #listener: IncomingBodiesListener;
  readonly #bodies = new Map<string, IncomingBody>();
  readonly #highestCallIds: Record<MessageKind, number> = { call: 0, reply: 0 };

  constructor(listener: IncomingBodiesListener) {
    this.#listener = listener;
  }

  /** Begins to receive the body of a message, which follows in chunks. */
  begin(head: MessageWithBody): void {
    const { kind, callId, bodyLengthBytes } = head;
    const key = createKey(kind, callId);
    const incoming = { head, assembler: new BodyAssembler(bodyLengthBytes) };
    this.#bodies.set(key, incoming);
    this.#highestCallIds[kind] = Math.max(this.#highestCallIds[kind], callId);
    void this.#listener.reserve(head).then((isAccepted) => {
      if (this.#bodies.get(key) !== incoming) {
        return;
      }
      if (isAccepted) {
        this.#listener.grant(head);
      } else {
        this.#bodies.delete(key);
        this.#listener.reject(head);
      }
    });
  }

  /** Adds a chunk. Returns false if it is out of order, or belongs to no message. */
  add({ callId, isReply, offsetBytes, body }: BodyChunk): boolean {
    const kind = isReply ? "reply" : "call";
    const key = createKey(kind, callId);
    const incoming = this.#bodies.get(key);
    if (!incoming) {
      // The body has been discarded while the chunk was on its way.
      return callId <= this.#highestCallIds[kind];
    }
    const { head, assembler } = incoming;
    if (!assembler.add(offsetBytes, body)) {
      return false;
    }
    if (assembler.isComplete) {
      this.#bodies.delete(key);
      this.#listener.deliver(head, assembler.concatenate());
    }
    return true;
  }

  /** Discards the body of a message, if it is not complete. */
  discard(kind: MessageKind, callId: number): void {
    this.#bodies.delete(createKey(kind, callId));
  }

  /** Discards all bodies. */
  clear(): void {
    this.#bodies.clear();
  }
}

function createKey(kind: MessageKind, callId: number): string {
  return `${kind}/${callId}`;
}
