/**
 * Binding of an address that may not be available yet.
 *
 * At a start the address may still be held by the process before this one or by
 * an outgoing connection, or not be configured on the VM's interface yet. Ending
 * the process would only start it again under the same conditions.
 */

import type { Clock } from "../time/mod.ts";

/** Error codes of a bind that may succeed later. */
const TRANSIENT_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);

/** Delay before the second attempt, in milliseconds; it doubles with each further one. */
const FIRST_RETRY_DELAY_MS = 50;

/** Upper bound of the delay between attempts, in milliseconds. */
const MAX_RETRY_DELAY_MS = 500;

/** Interval between reports of failed attempts, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

/** Default time after which a bind fails, in milliseconds; several times what a process is given to stop. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Limits and dependencies of {@link bindWhenFree}. */
export interface BindOptions {
  readonly clock: Clock;
  /** Time after which the last error is thrown, in milliseconds; 30 s by default. */
  readonly timeoutMs?: number;
  /** Called after the first failed attempt and every 5 s from then on. */
  readonly reportRetry: (error: Error) => void;
  /** Whether to give up, because the daemon stops. */
  readonly isCancelled?: () => boolean;
}

/**
 * Binds a socket, and tries again while its address is not available.
 *
 * @param bind - Makes one attempt; rejects if it fails
 * @param options - Timeout, clock and callbacks
 * @returns Whether the socket is bound; false if cancelled. Rejects with the error
 *   of the last attempt after the timeout, and at once with any other error
 *
 * @example
 * await bindWhenFree(() => server.listen(address, port), options);
 */
export async function bindWhenFree(
  bind: () => Promise<void>,
  options: BindOptions,
): Promise<boolean> {
  const { clock, reportRetry, isCancelled = () => false } = options;
  const { timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const deadlineMs = clock.monotonicMs() + timeoutMs;
  let delayMs = FIRST_RETRY_DELAY_MS;
  let reportAtMs = Number.NEGATIVE_INFINITY;
  while (!isCancelled()) {
    try {
      await bind();
      return true;
    } catch (cause) {
      const error = cause as NodeJS.ErrnoException;
      const isTransient = TRANSIENT_CODES.has(error.code ?? "");
      const nowMs = clock.monotonicMs();
      if (!isTransient || nowMs >= deadlineMs) {
        throw error;
      }
      if (nowMs >= reportAtMs) {
        reportRetry(error);
        reportAtMs = nowMs + REPORT_INTERVAL_MS;
      }
    }
    await clock.sleep(delayMs);
    delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
  }
  return false;
}
