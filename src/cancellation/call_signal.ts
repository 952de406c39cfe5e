/**
 * Signal by which the parts of a call learn that it was aborted.
 */

/**
 * The subset of `AbortSignal` that calls need. Creating native signals and their
 * events costs more than the rest of the bookkeeping of a hop, and each hop needs
 * several. External callers may still pass an `AbortSignal`.
 */
export interface CallSignal {
  readonly aborted: boolean;
  /** Why the call was aborted; undefined if its caller cancelled it. */
  readonly reason: unknown;
  addEventListener(type: "abort", listener: () => void): void;
  removeEventListener(type: "abort", listener: () => void): void;
}
