/**
 * Binding of one of the daemon's endpoints at its start.
 */

import { bindWhenFree } from "../listening/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock } from "../time/mod.ts";

/** An endpoint to bind; listeners have the same members. */
export interface BindableEndpoint {
  /** Address, as `IP:PORT`. */
  readonly address: string;
  /** Whether the daemon also serves without this endpoint. */
  readonly isOptional: boolean;
  /** Makes one attempt to bind; rejects if it fails. */
  start(): Promise<void>;
}

/** Dependencies of {@link bindEndpoint}. */
export interface BindEndpointOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Whether the daemon has been told to stop. */
  readonly isCancelled: () => boolean;
}

/**
 * Binds an endpoint as soon as its address is free.
 *
 * @param endpoint - The endpoint
 * @param options - Clock, log and the condition that ends the wait
 * @returns Resolves when the endpoint is bound, the daemon stops, or an optional
 *   endpoint has failed for good; rejects if another one cannot be bound
 *
 * @example
 * await bindEndpoint(listener, { clock, log, isCancelled });
 */
export async function bindEndpoint(
  endpoint: BindableEndpoint,
  { clock, log, isCancelled }: BindEndpointOptions,
): Promise<void> {
  const { address, isOptional } = endpoint;
  try {
    await bindWhenFree(() => endpoint.start(), {
      clock,
      ...isOptional && { timeoutMs: Number.POSITIVE_INFINITY },
      reportRetry: ({ message }) =>
        log.warn({ address, error: message }, "address-not-free"),
      isCancelled,
    });
  } catch (cause) {
    if (!isOptional) {
      throw cause;
    }
    const { message } = cause as Error;
    log.error({ address, error: message }, "optional-listener-failed");
  }
}
