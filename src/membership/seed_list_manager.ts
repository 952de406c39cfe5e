/**
 * Initial contacts: the `seeds` setting, and a short list of addresses per
 * failure domain in the object store.
 *
 * The first delegate of a failure domain rewrites its list when it is out of date.
 * A daemon without peers counts as the first delegate, so it fills an empty list.
 * When the store returns from a copy, each daemon that notices it checks the list
 * of its failure domain, and writes it again if it was lost.
 * Reads and writes are randomly spread over time and back off while the store
 * fails.
 */

import { NO_VERSION } from "../store/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import type { RemoteContacts } from "./remote_contacts.ts";

/** Maximum number of addresses in the list of a failure domain. */
const MAX_SEEDS = 8;

/** Maximum delay before the first read, in milliseconds. */
const MAX_FIRST_READ_DELAY_MS = 300;

/** Mean interval at which the first delegate checks the list, in milliseconds. */
const CHECK_INTERVAL_MS = 300_000;

/**
 * Initial and maximum wait, before jitter, between the checks of a daemon that
 * has no peers or whose last check failed, in milliseconds. The maximum also
 * applies while a failure domain is unreachable or has no known address.
 */
const ISOLATED_RETRY_WAIT_MS = { initial: 1_000, max: 60_000 } as const;

/** Mean wait before the list is checked after the store has returned from a copy, in milliseconds. */
const RETURN_CHECK_WAIT_MS = 1_000;

/** Share of the expected list entries that must be alive. */
const MIN_ALIVE_RATIO = 0.5;

/** Number of tried addresses above which they are cleared. */
const MAX_TRIED_ADDRESSES = 64;

/** Dependencies of the seed list manager. */
export interface SeedListManagerOptions {
  readonly store: ObjectStore;
  /** Addresses from the settings. */
  readonly seeds: readonly string[];
  readonly contacts: RemoteContacts;
  /** Sends a join message to the daemon at an address. */
  readonly join: (address: string) => void;
}

/** Reads and maintains the seed lists in the object store. */
export class SeedListManager {
  readonly #context: GossipContext;
  readonly #options: SeedListManagerOptions;
  #nextCheckAtMs: number;
  #isolatedWaitMs: number = ISOLATED_RETRY_WAIT_MS.initial;
  readonly #triedAddresses = new Set<string>();
  #isChecking = false;
  #nextRemoteDomain = 0;
  #knownEra: number;
  /** Whether the list may have been lost with the latest changes of the store. */
  #mayBeLost = false;
  /** Whether the latest check was made without a configuration, which names the other failure domains. */
  #lacksDomains = false;

  constructor(context: GossipContext, options: SeedListManagerOptions) {
    this.#context = context;
    this.#options = options;
    this.#knownEra = options.store.era;
    this.#nextCheckAtMs = context.clock.monotonicMs() +
      context.random.nextFloat() * MAX_FIRST_READ_DELAY_MS;
  }

  /** Returns the store key of a failure domain's seed list. */
  static createStoreKey(failureDomain: string): string {
    return `seeds/${failureDomain}`;
  }

  /** Checks the seed lists if a check is due. */
  tick(): void {
    const { clock } = this.#context;
    this.#noticeReturn();
    this.#noticeConfiguration();
    if (this.#isChecking || clock.monotonicMs() < this.#nextCheckAtMs) {
      return;
    }
    const isAlone = this.#isAlone();
    if (!isAlone && !this.#isWriter()) {
      this.#nextCheckAtMs = clock.monotonicMs() +
        this.#jitter(CHECK_INTERVAL_MS);
      return;
    }
    this.#isChecking = true;
    void this.#checkLists(isAlone).finally(() => {
      this.#isChecking = false;
    });
  }

  #noticeReturn(): void {
    const { era } = this.#options.store;
    if (era === this.#knownEra) {
      return;
    }
    this.#mayBeLost ||= this.#knownEra > 0;
    this.#knownEra = era;
    if (this.#mayBeLost) {
      this.#nextCheckAtMs = this.#context.clock.monotonicMs() +
        this.#jitter(RETURN_CHECK_WAIT_MS);
    }
  }

  /** Brings the next check forward if the latest one could not look for the other failure domains. */
  #noticeConfiguration(): void {
    const { clock, configuration } = this.#context;
    if (this.#lacksDomains && configuration.current) {
      this.#lacksDomains = false;
      this.#nextCheckAtMs = Math.min(
        this.#nextCheckAtMs,
        clock.monotonicMs() + this.#jitter(ISOLATED_RETRY_WAIT_MS.initial),
      );
    }
  }

  async #checkLists(isAlone: boolean): Promise<void> {
    const { clock, configuration } = this.#context;
    this.#options.seeds.forEach((seed) => this.#options.join(seed));
    const succeeded = await this.#checkOwnList();
    this.#lacksDomains = configuration.current === undefined;
    await this.#readRemoteList();
    if (isAlone || !succeeded) {
      this.#nextCheckAtMs = clock.monotonicMs() +
        this.#jitter(this.#isolatedWaitMs);
      this.#isolatedWaitMs = Math.min(
        this.#isolatedWaitMs * 2,
        ISOLATED_RETRY_WAIT_MS.max,
      );
      return;
    }
    this.#isolatedWaitMs = ISOLATED_RETRY_WAIT_MS.initial;
    if (this.#mayBeLost) {
      this.#nextCheckAtMs = clock.monotonicMs() +
        this.#jitter(RETURN_CHECK_WAIT_MS);
      return;
    }
    const isRemoteMissing = this.#listMissingDomains().length > 0;
    this.#nextCheckAtMs = clock.monotonicMs() + this.#jitter(
      isRemoteMissing ? ISOLATED_RETRY_WAIT_MS.max : CHECK_INTERVAL_MS,
    );
  }

  /**
   * Joins the members in this failure domain's list, and updates the list if
   * needed. Returns false if the store failed or the write conflicted.
   */
  async #checkOwnList(): Promise<boolean> {
    const { table } = this.#context;
    const key = SeedListManager.createStoreKey(table.self.failureDomain);
    const stored = await this.#options.store.read(key);
    if (stored.isErr()) {
      return false;
    }
    const addresses = readAddresses(stored.value?.value);
    const alive = this.#listAlive();
    const unknown = addresses.filter((address) => !alive.includes(address));
    const hasUntried = unknown.some((address) =>
      !this.#triedAddresses.has(address)
    );
    unknown.forEach((address) => this.#joinAndRemember(address));
    const aliveInList = addresses.length - unknown.length;
    const isUpToDate = aliveInList >=
      Math.min(alive.length, MAX_SEEDS) * MIN_ALIVE_RATIO;
    if (isUpToDate || !this.#isWriter()) {
      this.#mayBeLost = false;
      return true;
    }
    if (hasUntried) {
      return true;
    }
    const retained = unknown.slice(0, MAX_SEEDS / 2);
    const next = [...alive.slice(0, MAX_SEEDS - retained.length), ...retained];
    const written = await this.#options.store.write(
      key,
      next,
      stored.value?.version ?? NO_VERSION,
    );
    if (written.isErr()) {
      readAddresses(written.error.current?.value)
        .forEach((address) => this.#joinAndRemember(address));
    }
    this.#mayBeLost &&= written.isErr();
    return written.isOk();
  }

  /** Reads the list of one failure domain that is unreachable or has no known address. */
  async #readRemoteList(): Promise<void> {
    const missing = this.#listMissingDomains();
    const failureDomain = missing[this.#nextRemoteDomain % missing.length];
    const isFirstCheck = this.#isAlone() &&
      this.#isolatedWaitMs === ISOLATED_RETRY_WAIT_MS.initial;
    if (
      failureDomain === undefined || isFirstCheck || !this.#isFirstDelegate()
    ) {
      return;
    }
    this.#nextRemoteDomain += 1;
    const stored = await this.#options.store.read(
      SeedListManager.createStoreKey(failureDomain),
    );
    for (const address of readAddresses(stored.unwrapOr(undefined)?.value)) {
      this.#options.contacts.add(failureDomain, address);
      this.#options.join(address);
    }
  }

  #joinAndRemember(address: string): void {
    if (this.#triedAddresses.size > MAX_TRIED_ADDRESSES) {
      this.#triedAddresses.clear();
    }
    this.#triedAddresses.add(address);
    this.#options.join(address);
  }

  #listMissingDomains(): string[] {
    const { configuration, table } = this.#context;
    const configured = configuration.current?.regionByFailureDomain.keys() ??
      [];
    const unreachable = table.self.unreachableDomains ?? [];
    return [...configured].filter((domain) =>
      domain !== table.self.failureDomain &&
      (this.#options.contacts.list(domain).length === 0 ||
        unreachable.includes(domain))
    );
  }

  /** Lists the addresses of alive members of this failure domain, delegates first. */
  #listAlive(): string[] {
    const { table } = this.#context;
    const members = table.listDomain(table.self.failureDomain).filter((
      { state },
    ) => state === "alive");
    const delegates = chooseDelegates(members);
    return [...new Set([...delegates, ...members].map(formatGossipAddress))];
  }

  #isAlone(): boolean {
    const { table } = this.#context;
    return table.listDomain(table.self.failureDomain).length <= 1;
  }

  /** Whether this daemon maintains the list of its failure domain. */
  #isWriter(): boolean {
    return this.#mayBeLost || this.#isFirstDelegate();
  }

  #isFirstDelegate(): boolean {
    const { table } = this.#context;
    const [first] = chooseDelegates(
      table.listDomain(table.self.failureDomain),
    );
    return first?.incarnation === table.self.incarnation;
  }

  #jitter(durationMs: number): number {
    return durationMs * (0.5 + this.#context.random.nextFloat());
  }
}

function readAddresses(value: unknown): string[] {
  return Array.isArray(value)
    ? value.filter((address): address is string => typeof address === "string")
      .slice(0, MAX_SEEDS * 2)
    : [];
}
