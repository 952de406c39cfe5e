/**
 * Tells the parts of a call that it has ended before it was answered.
 */

/**
 * The part of `AbortSignal` that calls need. Creating the runtime's own signal
 * and its events costs more than the rest of a hop's bookkeeping, and each hop
 * needs several; a caller outside may still hand in an `AbortSignal`.
 */
export interface CallSignal {
  readonly aborted: boolean;
  /** Why the call has ended; undefined when its caller has left. */
  readonly reason: unknown;
  addEventListener(type: "abort", listener: () => void): void;
  removeEventListener(type: "abort", listener: () => void): void;
}
