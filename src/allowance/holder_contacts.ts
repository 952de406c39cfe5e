/**
 * Which holders have lately replied.
 */

/** Number of failures in a row, and time since the last reply, after which a holder is not used. */
const MAX_FAILURES = 2;
const SILENT_AFTER_MS = 500;

/** Time for which a silent holder is not used, in milliseconds. */
const EXCLUSION_MS = 2_000;

/** Time for which a reply shows that a holder can be used, in milliseconds. */
const PROOF_MS = 1_500;

/** Maximum number of holders remembered. */
const MAX_CONTACTS = 256;

interface Contact {
  readonly answeredAtMs: number;
  readonly failures: number;
  readonly excludedUntilMs: number;
}

const UNKNOWN: Contact = {
  answeredAtMs: Number.NEGATIVE_INFINITY,
  failures: 0,
  excludedUntilMs: Number.NEGATIVE_INFINITY,
};

/** Remembers replies and failures by the incarnation of the holder. */
export class HolderContacts {
  readonly #contacts = new Map<string, Contact>();

  /** Whether the holder can be asked. */
  isUsable(incarnation: string, nowMs: number): boolean {
    return nowMs >= this.#get(incarnation).excludedUntilMs;
  }

  /** Whether the holder has lately replied, so that shares may be delegated to it. */
  isProven(incarnation: string, nowMs: number): boolean {
    return nowMs - this.#get(incarnation).answeredAtMs < PROOF_MS;
  }

  /** Records a reply. */
  recordReply(incarnation: string, nowMs: number): void {
    this.#set(incarnation, { ...UNKNOWN, answeredAtMs: nowMs });
  }

  /** Records that a message got no reply. */
  recordFailure(incarnation: string, nowMs: number): void {
    const known = this.#get(incarnation);
    const failures = known.failures + 1;
    const isSilent = failures >= MAX_FAILURES &&
      nowMs - known.answeredAtMs > SILENT_AFTER_MS;
    this.#set(incarnation, {
      ...known,
      failures,
      excludedUntilMs: isSilent ? nowMs + EXCLUSION_MS : known.excludedUntilMs,
    });
  }

  #get(incarnation: string): Contact {
    return this.#contacts.get(incarnation) ?? UNKNOWN;
  }

  #set(incarnation: string, contact: Contact): void {
    this.#contacts.delete(incarnation);
    this.#contacts.set(incarnation, contact);
    if (this.#contacts.size > MAX_CONTACTS) {
      const [oldest = ""] = this.#contacts.keys();
      this.#contacts.delete(oldest);
    }
  }
}
