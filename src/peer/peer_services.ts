/**
 * Services of the daemon itself that other daemons call by a reserved name. Such
 * a call does not reach the backend server. A daemon of an older build refuses
 * it, since its backend server does not have that name.
 */

import type { CallMessage } from "../generated/types.ts";
import type { CallResult } from "../outcome/mod.ts";
import type { IncomingCallOptions } from "./peer_server.ts";

/** Serves a call to a reserved service name. */
export type PeerServiceHandler = (
  message: CallMessage,
  options: IncomingCallOptions,
) => Promise<CallResult>;

/** Handlers by reserved service name. */
export class PeerServices {
  readonly #handlers = new Map<string, PeerServiceHandler>();

  /** Registers the handler of a service name. */
  register(service: string, handler: PeerServiceHandler): void {
    this.#handlers.set(service, handler);
  }

  /** Returns the handler of a service name; undefined if it is not reserved. */
  find(service: string): PeerServiceHandler | undefined {
    return this.#handlers.get(service);
  }
}
