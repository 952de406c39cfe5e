/**
 * Fetches configurations from peers.
 *
 * Each fetch uses a connection of its own, which is closed afterwards: the peers
 * that announce new versions change all the time, and keeping connections to
 * them open would cost heartbeats.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import VError from "verror";
import type {
  ConfigurationFetchMessage,
  ConfigurationPartMessage,
} from "../generated/types.ts";
import { BodyAssembler } from "./body_assembler.ts";
import { PeerConnection } from "./peer_connection.ts";
import type {
  PeerAddress,
  PeerConnectionHandler,
  PeerConnectionOptions,
} from "./peer_connection_handler.ts";

/** Timeout of a fetch, in milliseconds. */
const FETCH_TIMEOUT_MS = 3_000;

/** Id of the fetch; constant, because each connection carries only one. */
const FETCH_ID = 1;

/** A connection that requests one configuration. */
class FetchConnection implements PeerConnectionHandler {
  readonly connection: PeerConnection;
  readonly hasActiveCalls = true;
  readonly #knownVersion: number;
  readonly #settle: (result: Result<Uint8Array, VError>) => void;
  #assembler: BodyAssembler | undefined;

  constructor(socket: Socket, options: {
    readonly connection: PeerConnectionOptions;
    readonly knownVersion: number;
    readonly settle: (result: Result<Uint8Array, VError>) => void;
  }) {
    this.#knownVersion = options.knownVersion;
    this.#settle = options.settle;
    this.connection = new PeerConnection(socket, this, options.connection);
  }

  onHello(): void {
    this.connection.send({
      kind: "configuration-fetch",
      fetchId: FETCH_ID,
      knownVersion: this.#knownVersion,
    });
  }

  onConfiguration(
    message: ConfigurationFetchMessage | ConfigurationPartMessage,
  ): void {
    if (message.kind !== "configuration-part") {
      return;
    }
    this.#assembler ??= new BodyAssembler(message.totalBytes);
    const part = message.body as Uint8Array;
    if (!this.#assembler.add(message.offsetBytes, part)) {
      this.#finish(
        err(createFailure("configuration parts arrived out of order")),
      );
    } else if (this.#assembler.isComplete) {
      this.#finish(ok(this.#assembler.concatenate()));
    }
  }

  reserveBody(): Promise<boolean> {
    return Promise.resolve(false); // This connection is only used to fetch a configuration.
  }

  onCall(): void {
    // This connection is only used to fetch a configuration.
  }

  onReply(): void {
    // This connection is only used to fetch a configuration.
  }

  onCancel(): void {
    // This connection is only used to fetch a configuration.
  }

  onSilent(): void {
    // The fetch timeout closes the connection.
  }

  onClose(error: VError | undefined): void {
    this.#settle(
      err(
        createFailure(
          "connection closed before the configuration was complete",
          error,
        ),
      ),
    );
  }

  #finish(result: Result<Uint8Array, VError>): void {
    this.#settle(result);
    this.connection.close();
  }
}

/**
 * Fetches the configuration changes made since a known version.
 *
 * @param address - Address of the peer
 * @param knownVersion - Version that is active on this daemon
 * @param options - Options of the connection
 * @returns The compressed transfer, or a `ConfigurationFetchFailed` error
 *
 * @example
 * const bytes = await fetchConfiguration(member, holder.version, connectionOptions);
 */
export function fetchConfiguration(
  address: PeerAddress,
  knownVersion: number,
  options: PeerConnectionOptions,
): Promise<Result<Uint8Array, VError>> {
  return new Promise((resolve) => {
    const socket = options.dial?.(address) ??
      connect({ host: address.address, port: address.peerPort });
    const settle = (result: Result<Uint8Array, VError>) => {
      cancelTimeout();
      resolve(result);
    };
    const fetchConnection = new FetchConnection(socket, {
      connection: options,
      knownVersion,
      settle,
    });
    const cancelTimeout = options.clock.schedule(FETCH_TIMEOUT_MS, () => {
      settle(err(createFailure("timed out waiting for the peer")));
      fetchConnection.connection.close();
    });
    void fetchConnection.connection.run();
  });
}

function createFailure(message: string, cause?: VError): VError {
  return new VError(
    {
      name: "ConfigurationFetchFailed",
      ...cause === undefined ? {} : { cause },
    },
    "%s",
    message,
  );
}
