/**
 * Fetching of a configuration from a peer, over a connection of its own that is
 * closed afterwards: the peers that a daemon hears of new versions from change
 * all the time, and kept connections would cost heartbeats.
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

/** Time allowed for one fetch, in milliseconds. */
const FETCH_TIMEOUT_MS = 3_000;

/** Each connection carries one question. */
const FETCH_ID = 1;

/** A connection that asks one question. */
class FetchLink implements PeerConnectionHandler {
  readonly link: PeerConnection;
  readonly hasActiveCalls = true;
  readonly #knownVersion: number;
  readonly #settle: (result: Result<Uint8Array, VError>) => void;
  #assembler: BodyAssembler | undefined;

  constructor(socket: Socket, options: {
    readonly link: PeerConnectionOptions;
    readonly knownVersion: number;
    readonly settle: (result: Result<Uint8Array, VError>) => void;
  }) {
    this.#knownVersion = options.knownVersion;
    this.#settle = options.settle;
    this.link = new PeerConnection(socket, this, options.link);
  }

  onHello(): void {
    this.link.send({
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
      this.#finish(err(createFailure("parts are out of order")));
    } else if (this.#assembler.isWhole) {
      this.#finish(ok(this.#assembler.concatenate()));
    }
  }

  onCall(): void {
    // This connection asks for a configuration only.
  }

  onReply(): void {
    // This connection asks for a configuration only.
  }

  onCancel(): void {
    // This connection asks for a configuration only.
  }

  onSilent(): void {
    // The timeout of the fetch ends the connection.
  }

  onClose(error: VError | undefined): void {
    this.#settle(err(createFailure("the connection ended", error)));
  }

  #finish(result: Result<Uint8Array, VError>): void {
    this.#settle(result);
    this.link.close();
  }
}

/**
 * Fetches what is missing above a known version.
 *
 * @param address - Where the peer listens
 * @param knownVersion - The version that is in force here
 * @param options - Identity and clock of this daemon
 * @returns The compressed transfer, or an error
 *
 * @example
 * const bytes = await fetchConfiguration(member, holder.version, linkOptions);
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
    const fetchLink = new FetchLink(socket, {
      link: options,
      knownVersion,
      settle,
    });
    const cancelTimeout = options.clock.schedule(FETCH_TIMEOUT_MS, () => {
      settle(err(createFailure("the peer did not answer in time")));
      fetchLink.link.close();
    });
    void fetchLink.link.run();
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
