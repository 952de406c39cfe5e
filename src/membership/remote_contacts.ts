/**
 * Addresses in other failure domains, remembered beyond the records, so that
 * a daemon finds the way back after an outage.
 */

/** Addresses remembered of each failure domain. */
const MAX_CONTACTS = 4;

/** Failure domains that are remembered. */
const MAX_DOMAINS = 256;

/** The latest addresses heard of, by failure domain. */
export class RemoteContacts {
  readonly #contacts = new Map<string, string[]>();

  /** Failure domains with an address. */
  get domains(): string[] {
    return [...this.#contacts.keys()];
  }

  /** Addresses of a failure domain, the latest first. */
  list(failureDomain: string): readonly string[] {
    return this.#contacts.get(failureDomain) ?? [];
  }

  /** Remembers an address. */
  add(failureDomain: string, address: string): void {
    const known = this.#contacts.get(failureDomain);
    if (known?.[0] === address) {
      return;
    }
    if (!known && this.#contacts.size >= MAX_DOMAINS) {
      return;
    }
    const others = (known ?? []).filter((other) => other !== address);
    this.#contacts.set(
      failureDomain,
      [address, ...others].slice(0, MAX_CONTACTS),
    );
  }
}
