/**
 * Placement of the keys issued by this daemon: held here, being handed over, held
 * by a successor, or lost in a handover that was not acknowledged.
 */

/** Placements of the keys. */
export const PLACEMENTS = {
  here: "here",
  handingOver: "handing-over",
  handedOver: "handed-over",
  lost: "lost",
} as const;

/** One of {@link PLACEMENTS}. */
export type PlacementState = (typeof PLACEMENTS)[keyof typeof PLACEMENTS];

/** Tracks whether this daemon may still use its keys. */
export class KeyPlacement {
  #state: PlacementState = PLACEMENTS.here;
  #successor = "";
  #handOverEnded: Promise<void> = Promise.resolve();
  #endHandOver: () => void = () => undefined;

  /** Current placement of the keys. */
  get state(): PlacementState {
    return this.#state;
  }

  /** Incarnation of the daemon that holds the keys; empty unless they were handed over. */
  get successor(): string {
    return this.#successor;
  }

  /** Resolves when no handover is in progress. */
  get handOverEnded(): Promise<void> {
    return this.#handOverEnded;
  }

  /** Starts a handover; no key may be used here until it ends. */
  beginHandOver(): void {
    this.#state = PLACEMENTS.handingOver;
    this.#handOverEnded = new Promise((resolve) => this.#endHandOver = resolve);
  }

  /** Completes the handover after the daemon with incarnation `successor` acknowledged it. */
  completeHandOver(successor: string): void {
    this.#successor = successor;
    this.#end(PLACEMENTS.handedOver);
  }

  /** Cancels the handover, because the keys were sent to no daemon or refused by each. */
  cancelHandOver(): void {
    this.#end(PLACEMENTS.here);
  }

  /** Marks the keys as lost after a handover without acknowledgement: a successor may hold them, so no other daemon may use them. */
  markLost(): void {
    this.#end(PLACEMENTS.lost);
  }

  #end(state: PlacementState): void {
    this.#state = state;
    this.#endHandOver();
  }
}
