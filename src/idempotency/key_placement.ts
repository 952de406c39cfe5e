/**
 * Where the keys of this daemon are: held here, being handed over, with a
 * successor, or lost on the way.
 */

/** State of the keys. */
export const PLACEMENTS = {
  here: "here",
  handingOver: "handing-over",
  handedOver: "handed-over",
  lost: "lost",
} as const;

/** One of {@link PLACEMENTS}. */
export type PlacementState = (typeof PLACEMENTS)[keyof typeof PLACEMENTS];

/** Decides whether this daemon may use the keys that it held. */
export class KeyPlacement {
  #state: PlacementState = PLACEMENTS.here;
  #successor = "";
  #decided: Promise<void> = Promise.resolve();
  #decide: () => void = () => undefined;

  /** State of the keys. */
  get state(): PlacementState {
    return this.#state;
  }

  /** Incarnation of the daemon that has them; empty unless handed over. */
  get successor(): string {
    return this.#successor;
  }

  /** Resolves when no hand-over is under way. */
  get handOverEnded(): Promise<void> {
    return this.#decided;
  }

  /** No key may be used here from now on. */
  beginHandOver(): void {
    this.#state = PLACEMENTS.handingOver;
    this.#decided = new Promise((resolve) => this.#decide = resolve);
  }

  /** The successor has acknowledged. */
  completeHandOver(successor: string): void {
    this.#successor = successor;
    this.#end(PLACEMENTS.handedOver);
  }

  /** No daemon has been sent the keys, or each has refused them. */
  cancelHandOver(): void {
    this.#end(PLACEMENTS.here);
  }

  /** A daemon may have the keys, but has not acknowledged; nobody else may use them. */
  markLost(): void {
    this.#end(PLACEMENTS.lost);
  }

  #end(state: PlacementState): void {
    this.#state = state;
    this.#decide();
  }
}
