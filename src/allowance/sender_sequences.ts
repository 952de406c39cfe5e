/**
 * The latest message of each daemon that a holder has received.
 */

/** Maximum number of daemons whose latest sequence number is kept. */
const MAX_SENDERS = 20_000;

/** Sequence numbers by the incarnation of the sender. */
export class SenderSequences {
  readonly #sequences = new Map<string, number>();

  /** Records a message; returns false if it has been received before or is older than another one of its sender. */
  record(sender: string, sequence: number): boolean {
    if (sequence <= (this.#sequences.get(sender) ?? 0)) {
      return false;
    }
    this.#sequences.delete(sender);
    this.#sequences.set(sender, sequence);
    if (this.#sequences.size > MAX_SENDERS) {
      const [oldest = ""] = this.#sequences.keys();
      this.#sequences.delete(oldest);
    }
    return true;
  }
}
