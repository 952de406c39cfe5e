/**
 * The serving side of connections from other daemons.
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
import type { CallResult } from "../outcome/mod.ts";
import { convertResultToReply } from "./convert_reply.ts";
import { PeerConnection } from "./peer_connection.ts";
import type {
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";
import { sendConfigurationParts } from "./send_configuration_parts.ts";

/** Runs a call that a peer sent; the signal ends when the peer no longer waits. */
export type CallHandler = (
  call: CallMessage,
  body: Uint8Array,
  signal: CallSignal,
) => Promise<CallResult>;

/** Dependencies of the serving side. */
export interface PeerServerOptions extends PeerConnectionOptions {
  readonly handleCall: CallHandler;
  /** Gives the compressed transfer for a peer that has `knownVersion`. */
  readonly provideConfiguration?: (knownVersion: number) => Uint8Array;
  /** Told once for each connection that ended in an error. */
  readonly reportError: (error: VError, remoteAddress: string) => void;
}

interface RunningCall {
  readonly controller: CallController;
  readonly isRepeatable: boolean;
}

/** One accepted connection with the calls that run for it. */
class AcceptedLink implements PeerConnectionHandler {
  readonly link: PeerConnection;
  readonly #running = new Map<number, RunningCall>();
  readonly #options: PeerServerOptions;
  readonly #remoteAddress: string;

  constructor(socket: Socket, options: PeerServerOptions) {
    this.#options = options;
    this.#remoteAddress = socket.remoteAddress ?? "";
    this.link = new PeerConnection(socket, this, options);
  }

  get hasActiveCalls(): boolean {
    return this.#running.size > 0;
  }

  onHello(_hello: HelloMessage): void {
    // The link has checked the proof; nothing else depends on who calls.
  }

  onCall(call: CallMessage, body: Uint8Array): void {
    void this.#serve(call, body);
  }

  onReply(): void {
    // Replies travel from the accepting side only.
  }

  onCancel(callId: number): void {
    this.#running.get(callId)?.controller.abort();
  }

  onSilent(): void {
    // The dialling side opens a new connection; calls in progress go on.
  }

  onConfiguration(
    message: ConfigurationFetchMessage | ConfigurationPartMessage,
  ): void {
    const provide = this.#options.provideConfiguration;
    if (provide && message.kind === "configuration-fetch") {
      const bytes = provide(message.knownVersion);
      sendConfigurationParts(this.link, message.fetchId, bytes);
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
    if (!this.link.sendWithBody(reply.head, reply.body)) {
      this.link.close(
        new VError({ name: "PeerSlow" }, "peer does not read its replies"),
      );
    }
  }
}

/** Listens for other daemons. */
export class PeerServer {
  readonly #server: Server;
  readonly #links = new Set<AcceptedLink>();

  constructor(options: PeerServerOptions) {
    this.#server = createServer((socket) => void this.#serve(socket, options));
  }

  /** Starts to listen. */
  listen(address: string, peerPort: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(peerPort, address, resolve);
    });
  }

  /** Stops listening and ends every connection after the replies that were sent on it. */
  async close(): Promise<void> {
    this.#server.close();
    await Promise.all(
      [...this.#links].map(({ link }) => link.closeGracefully()),
    );
  }

  async #serve(socket: Socket, options: PeerServerOptions): Promise<void> {
    const accepted = new AcceptedLink(socket, options);
    this.#links.add(accepted);
    await accepted.link.run();
    this.#links.delete(accepted);
  }
}
