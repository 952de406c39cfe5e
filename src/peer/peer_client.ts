/**
 * The calling side of a connection to one daemon.
 *
 * The connection is opened when first needed. When it fails or falls silent, a
 * new one is opened for the next call. Calls are matched to replies by the
 * connection they were sent on and a number that is never used twice on it.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { err } from "neverthrow";
import type VError from "verror";
import { CONNECT_TIMEOUT_MS } from "../constants/mod.ts";
import type {
  CallMessage,
  HelloMessage,
  ReplyMessage,
} from "../generated/types.ts";
import { createRefusal, createUncertainty, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { convertReplyToResult } from "./convert_reply.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerLinkOptions, PeerLinkOwner } from "./peer_link.ts";

/** Where a peer listens. */
export interface PeerAddress {
  readonly address: string;
  readonly peerPort: number;
  /** Incarnation that is meant; another one at the address is not called. */
  readonly incarnation?: string;
}

/** A call message before the connection numbers it. */
export type UnnumberedCall = Omit<CallMessage, "callId" | "body">;

/** What became of the messages of one call. */
export interface CallTrace {
  /** Whether the call was handed to the connection. */
  isSent: boolean;
  /** Whether the peer's own reply gave the outcome. */
  isReplied: boolean;
}

/** Options of a call. */
export interface PeerCallOptions {
  /** Ends the wait; the peer is told to cancel. */
  readonly signal: AbortSignal;
  /** Told what became of the call's messages. */
  readonly trace?: CallTrace;
}

type Settle = (result: CallResult) => void;

/** A call that waits for its outcome. */
interface PendingCall {
  readonly settle: Settle;
  readonly trace: CallTrace | undefined;
}

/** One connection with the calls that wait on it. */
class DialedLink implements PeerLinkOwner {
  readonly link: PeerLink;
  readonly opened: Promise<boolean>;
  readonly #pending = new Map<number, PendingCall>();
  #nextCallId = 1;
  #settleOpened: (isOpen: boolean) => void = () => undefined;
  remoteIncarnation = "";

  constructor(socket: Socket, options: PeerLinkOptions) {
    this.link = new PeerLink(socket, this, options);
    this.opened = new Promise((resolve) => this.#settleOpened = resolve);
    const cancelTimeout = options.clock.schedule(
      CONNECT_TIMEOUT_MS,
      () => this.#giveUpOpening(),
    );
    void this.opened.then(cancelTimeout);
    void this.link.run();
  }

  get pendingCalls(): number {
    return this.#pending.size;
  }

  onHello(hello: HelloMessage): void {
    this.remoteIncarnation = hello.incarnation;
    this.#settleOpened(true);
  }

  onReply(reply: ReplyMessage, body: Uint8Array): void {
    const pending = this.#pending.get(reply.callId);
    this.#pending.delete(reply.callId);
    if (pending?.trace) {
      pending.trace.isReplied = true;
    }
    pending?.settle(convertReplyToResult(reply, body));
  }

  onCall(): void {
    // Calls travel from the dialling side only.
  }

  onCancel(): void {
    // Cancellations travel from the dialling side only.
  }

  onClose(_error: VError | undefined): void {
    this.#settleOpened(false);
    for (const { settle } of this.#pending.values()) {
      settle(err(createUncertainty(REASONS.connectionLost)));
    }
    this.#pending.clear();
  }

  /** Sends a call and waits for its outcome. */
  call(
    call: UnnumberedCall,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    return new Promise((resolve) => {
      const abort = () => this.#abandon(callId);
      const settle = (result: CallResult) => {
        options.signal.removeEventListener("abort", abort);
        resolve(result);
      };
      if (!this.link.sendWithBody({ ...call, callId }, body)) {
        settle(
          err(
            createRefusal(REASONS.connectFailed, {
              unusedAllowance: call.context.retryAllowance,
            }),
          ),
        );
        return;
      }
      if (options.trace) {
        options.trace.isSent = true;
      }
      this.#pending.set(callId, { settle, trace: options.trace });
      options.signal.addEventListener("abort", abort);
    });
  }

  #abandon(callId: number): void {
    const pending = this.#pending.get(callId);
    if (!pending) {
      return;
    }
    this.#pending.delete(callId);
    this.link.send({ kind: "cancel", callId });
    pending.settle(err(createUncertainty(REASONS.cancelled)));
  }

  #giveUpOpening(): void {
    if (!this.link.isReady) {
      this.link.close();
      this.#settleOpened(false);
    }
  }
}

/** Calls to one daemon. */
export class PeerClient {
  readonly #address: PeerAddress;
  readonly #options: PeerLinkOptions;
  #current: DialedLink | undefined;

  constructor(address: PeerAddress, options: PeerLinkOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Calls that wait for an outcome. */
  get pendingCalls(): number {
    return this.#current?.pendingCalls ?? 0;
  }

  /** Incarnation of the daemon at the other end; empty before the first connection. */
  get remoteIncarnation(): string {
    return this.#current?.remoteIncarnation ?? "";
  }

  /** Sends a call; a connection that cannot be opened is a refusal, since nothing was sent. */
  async call(
    call: UnnumberedCall,
    body: Uint8Array,
    options: PeerCallOptions,
  ): Promise<CallResult> {
    const dialed = this.#dial();
    if (!dialed.link.isReady && !(await dialed.opened)) {
      this.#forget(dialed);
      return err(
        createRefusal(REASONS.connectFailed, {
          unusedAllowance: call.context.retryAllowance,
        }),
      );
    }
    if (!this.#isMeant(dialed)) {
      return err(
        createRefusal(REASONS.connectFailed, {
          unusedAllowance: call.context.retryAllowance,
        }),
      );
    }
    if (options.signal.aborted) {
      return err(
        createRefusal(REASONS.cancelled, {
          unusedAllowance: call.context.retryAllowance,
        }),
      );
    }
    return await dialed.call(call, body, options);
  }

  /** Ends the connection. */
  close(): void {
    this.#current?.link.close();
    this.#current = undefined;
  }

  #dial(): DialedLink {
    if (this.#current && !this.#isSpent(this.#current)) {
      return this.#current;
    }
    const socket = connect({
      host: this.#address.address,
      port: this.#address.peerPort,
    });
    const dialed = new DialedLink(socket, this.#options);
    void dialed.opened.then((isOpen) => isOpen || this.#forget(dialed));
    this.#current = dialed;
    return dialed;
  }

  #isMeant(dialed: DialedLink): boolean {
    const { incarnation } = this.#address;
    return incarnation === undefined ||
      dialed.remoteIncarnation === incarnation;
  }

  #isSpent(dialed: DialedLink): boolean {
    return dialed.remoteIncarnation !== "" && !dialed.link.isReady;
  }

  #forget(dialed: DialedLink): void {
    if (this.#current === dialed) {
      this.#current = undefined;
    }
  }
}
