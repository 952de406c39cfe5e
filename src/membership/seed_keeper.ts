/**
 * First contacts: the setting `seeds`, and a short list of addresses of each
 * failure domain in the store.
 *
 * A list is written by the first delegate of its failure domain when it is out
 * of date, and by a daemon that finds it empty. Reads and writes are spread in
 * time and back off while the store fails.
 */

import type { ObjectStore } from "../store/mod.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import type { RemoteContacts } from "./remote_contacts.ts";

/** Addresses in the list of one failure domain. */
const MAX_SEEDS = 8;

/** Longest wait before the first read, in milliseconds. */
const FIRST_READ_SPREAD_MS = 300;

/** Interval at which the first delegate checks the list, in milliseconds. */
const CHECK_INTERVAL_MS = 300_000;

/** First and longest wait between tries of a daemon that knows nobody, in milliseconds. */
const ISOLATED_RETRY_MS = { first: 1_000, longest: 60_000 } as const;

/** Share of the list that has to be alive. */
const MIN_ALIVE_RATIO = 0.5;

/** Addresses remembered as tried. */
const MAX_TRIED = 64;

/** Dependencies of the keeper. */
export interface SeedKeeperOptions {
  readonly store: ObjectStore;
  /** Addresses from the settings. */
  readonly seeds: readonly string[];
  readonly contacts: RemoteContacts;
  /** Asks a daemon at an address to tell of members. */
  readonly join: (address: string) => void;
}

/** Reads and keeps the lists of first contacts. */
export class SeedKeeper {
  readonly #context: GossipContext;
  readonly #options: SeedKeeperOptions;
  #dueAtMs: number;
  #isolatedWaitMs: number = ISOLATED_RETRY_MS.first;
  readonly #tried = new Set<string>();
  #isBusy = false;
  #nextRemoteDomain = 0;

  constructor(context: GossipContext, options: SeedKeeperOptions) {
    this.#context = context;
    this.#options = options;
    this.#dueAtMs = context.clock.monotonicMs() +
      context.random.nextFloat() * FIRST_READ_SPREAD_MS;
  }

  /** Name of the list of a failure domain. */
  static nameKey(failureDomain: string): string {
    return `seeds/${failureDomain}`;
  }

  /** Does what is due. */
  tick(): void {
    const { clock } = this.#context;
    if (this.#isBusy || clock.monotonicMs() < this.#dueAtMs) {
      return;
    }
    const isAlone = this.#isAlone();
    if (!isAlone && !this.#isFirstDelegate()) {
      this.#dueAtMs = clock.monotonicMs() + this.#jitter(CHECK_INTERVAL_MS);
      return;
    }
    this.#isBusy = true;
    void this.#check(isAlone).finally(() => {
      this.#isBusy = false;
    });
  }

  async #check(isAlone: boolean): Promise<void> {
    const { clock } = this.#context;
    this.#options.seeds.forEach((seed) => this.#options.join(seed));
    const isKept = await this.#checkOwnList();
    await this.#readRemoteList();
    if (isAlone || !isKept) {
      this.#dueAtMs = clock.monotonicMs() + this.#jitter(this.#isolatedWaitMs);
      this.#isolatedWaitMs = Math.min(
        this.#isolatedWaitMs * 2,
        ISOLATED_RETRY_MS.longest,
      );
      return;
    }
    this.#isolatedWaitMs = ISOLATED_RETRY_MS.first;
    const isRemoteMissing = this.#listMissingDomains().length > 0;
    this.#dueAtMs = clock.monotonicMs() + this.#jitter(
      isRemoteMissing ? ISOLATED_RETRY_MS.longest : CHECK_INTERVAL_MS,
    );
  }

  /** Joins whom the own list names, and renews the list; tells whether the store answered. */
  async #checkOwnList(): Promise<boolean> {
    const { table } = this.#context;
    const key = SeedKeeper.nameKey(table.self.failureDomain);
    const stored = await this.#options.store.read(key);
    if (stored.isErr()) {
      return false;
    }
    const addresses = readAddresses(stored.value?.value);
    const alive = this.#listAlive();
    const unknown = addresses.filter((address) => !alive.includes(address));
    const isWorthTrying = unknown.some((address) => !this.#tried.has(address));
    unknown.forEach((address) => this.#try(address));
    const aliveInList = addresses.length - unknown.length;
    const isGood = aliveInList >=
      Math.min(alive.length, MAX_SEEDS) * MIN_ALIVE_RATIO;
    if (isGood || isWorthTrying || !this.#isFirstDelegate()) {
      return true;
    }
    const kept = unknown.slice(0, MAX_SEEDS / 2);
    const next = [...alive.slice(0, MAX_SEEDS - kept.length), ...kept];
    const written = await this.#options.store.write(
      key,
      next,
      stored.value?.version ?? 0,
    );
    if (written.isErr()) {
      readAddresses(written.error.current?.value)
        .forEach((address) => this.#try(address));
    }
    return written.isOk();
  }

  /** Reads the list of one failure domain of which no address is known. */
  async #readRemoteList(): Promise<void> {
    const missing = this.#listMissingDomains();
    const failureDomain = missing[this.#nextRemoteDomain % missing.length];
    const isNew = this.#isAlone() &&
      this.#isolatedWaitMs === ISOLATED_RETRY_MS.first;
    if (failureDomain === undefined || isNew || !this.#isFirstDelegate()) {
      return;
    }
    this.#nextRemoteDomain += 1;
    const stored = await this.#options.store.read(
      SeedKeeper.nameKey(failureDomain),
    );
    for (const address of readAddresses(stored.unwrapOr(undefined)?.value)) {
      this.#options.contacts.add(failureDomain, address);
      this.#options.join(address);
    }
  }

  #try(address: string): void {
    if (this.#tried.size > MAX_TRIED) {
      this.#tried.clear();
    }
    this.#tried.add(address);
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

  /** Addresses of alive members of the own failure domain, delegates first. */
  #listAlive(): string[] {
    const { table } = this.#context;
    const members = table.listDomain(table.self.failureDomain).filter((
      { state },
    ) => state === "alive");
    const delegates = chooseDelegates(members);
    return [...new Set([...delegates, ...members].map(nameTarget))];
  }

  #isAlone(): boolean {
    const { table } = this.#context;
    return table.listDomain(table.self.failureDomain).length <= 1;
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
