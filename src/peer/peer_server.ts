/**
 * Server for calls and configuration fetches of peer daemons.
 */

import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import VError from "verror";
import { CallController } from "../cancellation/mod.ts";
import type { CallSignal } from "../cancellation/mod.ts";
import type {
  CallMessage,
  ConfigurationFetchMessage,
  ConfigurationPartMessage,
  HelloMessage,
} from "../generated/types.ts";
import { ListeningServer } from "../listening/mod.ts";
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

/** Handles a call from a peer; the signal is aborted when the peer cancels the call, or disconnects and the call is repeatable. */
export type CallHandler = (
  call: CallMessage,
  body: Uint8Array,
  signal: CallSignal,
) => Promise<CallResult>;

/** Dependencies of the server. */
export interface PeerServerOptions extends PeerConnectionOptions {
  readonly handleCall: CallHandler;
  /** Returns the compressed configuration transfer for a peer that has `knownVersion`. */
  readonly provideConfiguration?: (knownVersion: number) => Uint8Array;
  /** Called once for each connection that is closed by an error. */
  readonly reportError: (error: VError, remoteAddress: string) => void;
  /** Called for each error of the listening socket, such as a connection that cannot be accepted. */
  readonly reportListenerError?: (error: Error) => void;
}

interface RunningCall {
  readonly controller: CallController;
  readonly isRepeatable: boolean;
}

/** A connection accepted from a peer, with the calls running for it. */
class InboundConnection implements PeerConnectionHandler {
  readonly connection: PeerConnection;
  readonly #running = new Map<number, RunningCall>();
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

  onCall(call: CallMessage, body: Uint8Array): void {
    void this.#serve(deductTransit(this.#transitTimer, call), body);
  }

  onReply(): void {
    // Replies are only sent by the accepting side.
  }

  onCancel(callId: number): void {
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
    for (const { controller, isRepeatable } of this.#running.values()) {
      if (isRepeatable) {
        controller.abort();
      }
    }
    if (error) {
      this.#options.reportError(error, this.#remoteAddress);
    }
  }

  async #serve(call: CallMessage, body: Uint8Array): Promise<void> {
    const controller = new CallController();
    const { isRepeatable } = call.context;
    this.#running.set(call.callId, { controller, isRepeatable });
    const result = await this.#options.handleCall(
      call,
      body,
      controller.signal,
    );
    this.#running.delete(call.callId);
    const reply = convertResultToReply(call.callId, result);
    if (!this.connection.sendWithBody(reply.head, reply.body)) {
      this.connection.close(
        new VError({ name: "PeerSlow" }, "peer reads its replies too slowly"),
      );
    }
  }
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

  /** Stops listening, and closes every connection after flushing its queued replies. */
  async close(): Promise<void> {
    this.#server.close();
    await Promise.all(
      [...this.#connections].map(({ connection }) =>
        connection.closeGracefully()
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
