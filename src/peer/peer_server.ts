/**
 * Server for calls and configuration fetches of peer daemons.
 */

import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { err } from "neverthrow";
import type VError from "verror";
import { CallController } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import type {
  CallMessage,
  ConfigurationFetchMessage,
  ConfigurationPartMessage,
  HelloMessage,
  ReplyMessage,
} from "../generated/types.ts";
import { ListeningServer } from "../listening/mod.ts";
import { HeldMemory } from "../memory/mod.ts";
import type { MemoryBudget } from "../memory/mod.ts";
import { createRefusal, REASONS } from "../outcome/mod.ts";
import type { CallResult } from "../outcome/mod.ts";
import { convertResultToReply } from "./convert_reply.ts";
import { deductTransit } from "./deduct_transit.ts";
import { PeerConnection } from "./peer_connection.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";
import { sendConfigurationParts } from "./send_configuration_parts.ts";
import { TransitTimer } from "./transit_timer.ts";

/** Body, cancellation and memory of a call from a peer. */
export interface IncomingCallOptions {
  readonly body: Uint8Array;
  /** Aborted when the peer cancels the call, or disconnects and the call is repeatable. */
  readonly signal: CallSignal;
  /** Memory that the call holds until its reply has been sent. */
  readonly memory: HeldMemory;
}

/** Handles a call from a peer. */
export type CallHandler = (
  call: CallMessage,
  options: IncomingCallOptions,
) => Promise<CallResult>;

/** Dependencies of the server. */
export interface PeerServerOptions extends PeerConnectionOptions {
  readonly handleCall: CallHandler;
  /** Begins a call at once or later, refuses it, or drops it; each call is begun at once if not given. */
  readonly admitCall?: (call: CallMessage, arrived: ArrivedCall) => void;
  /** Counts a call as in progress until its reply has been sent. */
  readonly track?: (serve: () => Promise<void>) => Promise<void>;
  /** Returns the compressed configuration transfer for a peer that has `knownVersion`. */
  readonly provideConfiguration?: (knownVersion: number) => Uint8Array;
  /** Called once for each connection that is closed by an error. */
  readonly reportError: (error: VError, remoteAddress: string) => void;
  /** Called for each error of the listening socket, such as a connection that cannot be accepted. */
  readonly reportListenerError?: (error: Error) => void;
}

/** Longest wait for memory for the body of a call, and the share of its remaining time that it may wait, so that the sender can still try another instance. */
const MAX_BODY_WAIT_MS = 1_000;
const BODY_WAIT_RATIO = 0.25;

/** Default time for peers to take queued replies when the server closes, in milliseconds. */
const FLUSH_TIMEOUT_MS = 1_000;

/** A call that has arrived with its whole body. */
export interface ArrivedCall {
  /** Whether its sender has cancelled it. */
  readonly isCancelled: () => boolean;
  readonly begin: () => void;
  /** Refuses it, with the time after which its caller should return, in milliseconds. */
  readonly refuse: (retryAfterMs: number) => void;
  /** Ends it without a reply, for which nobody waits. */
  readonly drop: () => void;
}

interface RunningCall {
  readonly controller: CallController;
  readonly isRepeatable: boolean;
}

/** A call whose body is being received. */
interface ArrivingCall {
  readonly controller: CallController;
  readonly memory: HeldMemory;
  /** Whether its memory has been reserved. */
  isReserved: boolean;
}

/** A connection accepted from a peer, with the calls running for it. */
class InboundConnection implements PeerConnectionHandler {
  readonly connection: PeerConnection;
  readonly #running = new Map<number, RunningCall>();
  readonly #arriving = new Map<number, ArrivingCall>();
  readonly #options: PeerServerOptions;
  readonly #remoteAddress: string;
  readonly #transitTimer: TransitTimer;

  constructor(socket: Socket, options: PeerServerOptions) {
    this.#options = options;
    this.#transitTimer = new TransitTimer(options.clock);
    this.#remoteAddress = socket.remoteAddress ?? "";
    this.connection = new PeerConnection(socket, this, options);
  }

  get hasActiveCalls(): boolean {
    return this.#running.size > 0;
  }

  onHello(_hello: HelloMessage): void {
    // The connection has verified the peer's proof; nothing else depends on the caller's identity.
  }

  async reserveBody(
    head: CallMessage | ReplyMessage,
    { isPaced }: { readonly isPaced: boolean },
  ): Promise<boolean> {
    if (head.kind === "reply") {
      return false;
    }
    const { callId, bodyLengthBytes: bytes } = head;
    const { remainingMs, retryAllowance: unusedAllowance } = head.context;
    const memory = new HeldMemory(this.#options.memory);
    const controller = new CallController();
    const arriving = { controller, memory, isReserved: !isPaced };
    this.#arriving.set(callId, arriving);
    if (!isPaced) {
      memory.force(bytes);
      return true;
    }
    const { signal } = controller;
    const maxWaitMs = Math.min(MAX_BODY_WAIT_MS, remainingMs * BODY_WAIT_RATIO);
    arriving.isReserved = await memory.reserve(bytes, { signal, maxWaitMs });
    if (arriving.isReserved) {
      return true;
    }
    if (this.#arriving.get(callId) !== arriving) {
      return false; // Cancelled, or arrived without waiting for the grant.
    }
    this.#forgetArriving(callId);
    const retryAfterMs = memory.budget.estimateWaitMs(bytes);
    await this.#reply(
      callId,
      err(createRefusal(REASONS.memoryFull, { retryAfterMs, unusedAllowance })),
    );
    return false;
  }

  onCall(call: CallMessage, body: Uint8Array): void {
    const arriving = this.#arriving.get(call.callId);
    this.#arriving.delete(call.callId);
    if (arriving && !arriving.isReserved) {
      arriving.controller.abort();
      arriving.memory.force(body.length);
    }
    const memory = arriving?.memory ??
      createMemory(this.#options.memory, body);
    const { admitCall, track } = this.#options;
    const serve = () => this.#admit(admitCall, call, { body, memory });
    void (track?.(serve) ?? serve());
  }

  onReply(): void {
    // Replies are only sent by the accepting side.
  }

  onCancel(callId: number): void {
    this.#forgetArriving(callId);
    this.#running.get(callId)?.controller.abort();
  }

  onSilent(): void {
    // The peer opens a new connection; calls in progress continue.
  }

  onConfiguration(
    message: ConfigurationFetchMessage | ConfigurationPartMessage,
  ): void {
    const provide = this.#options.provideConfiguration;
    if (provide && message.kind === "configuration-fetch") {
      const bytes = provide(message.knownVersion);
      sendConfigurationParts(this.connection, message.fetchId, bytes);
    }
  }

  onClose(error: VError | undefined): void {
    for (const callId of [...this.#arriving.keys()]) {
      this.#forgetArriving(callId);
    }
    for (const { controller, isRepeatable } of this.#running.values()) {
      if (isRepeatable) {
        controller.abort();
      }
    }
    if (error) {
      this.#options.reportError(error, this.#remoteAddress);
    }
  }

  /** Resolves when the call has been replied to, or dropped. */
  #admit(
    admitCall: PeerServerOptions["admitCall"],
    call: CallMessage,
    { body, memory }: { body: Uint8Array; memory: HeldMemory },
  ): Promise<void> {
    const controller = new CallController();
    const { isRepeatable } = call.context;
    const { signal } = controller;
    this.#running.set(call.callId, { controller, isRepeatable });
    const handle = () =>
      this.#options.handleCall(deductTransit(this.#transitTimer, call), {
        ...{ body, signal, memory },
      });
    if (!admitCall) {
      return this.#finish(call, handle(), memory);
    }
    return new Promise((resolve, reject) => {
      const finish = (result: Promise<CallResult>) =>
        void this.#finish(call, result, memory).then(resolve, reject);
      admitCall(call, {
        isCancelled: () => signal.aborted,
        begin: () => finish(handle()),
        refuse: (retryAfterMs) => {
          const { retryAllowance: unusedAllowance } = call.context;
          const options = { retryAfterMs, unusedAllowance };
          finish(Promise.resolve(
            err(createRefusal(REASONS.overloadedInstance, options)),
          ));
        },
        drop: () => {
          this.#running.delete(call.callId);
          memory.release();
          resolve();
        },
      });
    });
  }

  async #finish(
    { callId }: CallMessage,
    pending: Promise<CallResult>,
    memory: HeldMemory,
  ): Promise<void> {
    const result = await pending;
    this.#running.delete(callId);
    await this.#reply(callId, result);
    memory.release();
  }

  /** Replies to a call. Resolves when the body of the reply no longer needs to be held. */
  async #reply(callId: number, result: CallResult): Promise<void> {
    const { head, body } = convertResultToReply(callId, result);
    await this.connection.sendWithBody(head, body);
  }

  #forgetArriving(callId: number): void {
    const arriving = this.#arriving.get(callId);
    this.#arriving.delete(callId);
    arriving?.controller.abort();
    arriving?.memory.release();
  }
}

/** Counts a body that has arrived with its call. */
function createMemory(budget: MemoryBudget, body: Uint8Array): HeldMemory {
  const memory = new HeldMemory(budget);
  memory.force(body.length);
  return memory;
}

/** Accepts connections from peer daemons. */
export class PeerServer {
  readonly #server: Server;
  readonly #listening: ListeningServer;
  readonly #connections = new Set<InboundConnection>();

  constructor(options: PeerServerOptions) {
    this.#server = createServer((socket) => void this.#serve(socket, options));
    this.#listening = new ListeningServer(
      this.#server,
      (error) => options.reportListenerError?.(error),
    );
  }

  /** Starts listening; rejects if the address cannot be bound, and may then be called again. */
  listen(address: string, peerPort: number): Promise<void> {
    return this.#listening.listen(address, peerPort);
  }

  /** Stops listening, and closes every connection once its peer has read the queued replies; the peer has the given time to take them, in milliseconds. */
  async close(flushTimeoutMs = FLUSH_TIMEOUT_MS): Promise<void> {
    this.#server.close();
    await Promise.all(
      [...this.#connections].map(({ connection }) =>
        connection.closeGracefully(flushTimeoutMs)
      ),
    );
  }

  async #serve(socket: Socket, options: PeerServerOptions): Promise<void> {
    const inbound = new InboundConnection(socket, options);
    this.#connections.add(inbound);
    await inbound.connection.run();
    this.#connections.delete(inbound);
  }
}
