/**
 * Recently seen addresses in other failure domains. They are kept longer than the
 * member records so that contact can be restored after an outage.
 */

/** Maximum number of addresses kept per failure domain. */
const MAX_CONTACTS = 4;

/** Maximum number of failure domains with addresses. */
const MAX_DOMAINS = 256;

/** Most recently seen addresses by failure domain. */
export class RemoteContacts {
  readonly #contacts = new Map<string, string[]>();

  /** Lists the failure domains with an address. */
  get domains(): string[] {
    return [...this.#contacts.keys()];
  }

  /** Lists the addresses of a failure domain, most recent first. */
  list(failureDomain: string): readonly string[] {
    return this.#contacts.get(failureDomain) ?? [];
  }

  /** Adds an address, or moves it to the front. */
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
