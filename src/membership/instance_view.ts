/**
 * Cached lists of the instances of each service that accept new work, used when
 * dispatching calls.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { MemberTable } from "./member_table.ts";

/** Number of services at which the cache is cleared; a fleet has several hundred. */
const MAX_SERVICES = 4_096;

/** Instances by service, computed on demand and cached until a record changes. */
export class InstanceView {
  readonly #table: MemberTable;
  readonly #instancesByService = new Map<string, readonly MemberRecord[]>();
  readonly #hiddenVersions = new Map<string, number>();
  #unreachableDomains: ReadonlySet<string> = new Set();

  constructor(table: MemberTable) {
    this.#table = table;
  }

  /**
   * Lists the instances that accept new work. Suspects are included while they
   * make up more than half of the instances, and instances in unreachable
   * failure domains while there are no others, so that a false suspicion never
   * leaves a service without instances.
   */
  list(service: string): readonly MemberRecord[] {
    const cached = this.#instancesByService.get(service);
    if (cached) {
      return cached;
    }
    const instances = this.#build(service);
    if (this.#instancesByService.size >= MAX_SERVICES) {
      this.#instancesByService.clear();
    }
    this.#instancesByService.set(service, instances);
    return instances;
  }

  /** Invalidates the cached lists that a changed record affects. */
  handleChange(record: MemberRecord, previous: MemberRecord | undefined): void {
    this.#instancesByService.delete(record.service);
    this.#instancesByService.delete(previous?.service ?? "");
    this.#hiddenVersions.delete(record.incarnation);
  }

  /**
   * Excludes an instance that refused a call because it is leaving, until its
   * next record version arrives.
   */
  hide({ incarnation, service, version }: MemberRecord): void {
    this.#hiddenVersions.set(incarnation, version);
    this.#instancesByService.delete(service);
  }

  /** Updates the unreachable failure domains: those that all delegates report as unreachable. */
  updateUnreachable(delegates: readonly MemberRecord[]): void {
    const [first, ...others] = delegates.map(({ unreachableDomains }) =>
      unreachableDomains ?? []
    );
    const unreachable = (first ?? []).filter((domain) =>
      others.every((domains) => domains.includes(domain))
    );
    const isSame = unreachable.length === this.#unreachableDomains.size &&
      unreachable.every((domain) => this.#unreachableDomains.has(domain));
    if (!isSame) {
      this.#unreachableDomains = new Set(unreachable);
      this.#instancesByService.clear();
    }
  }

  #build(service: string): MemberRecord[] {
    const usable = this.#table.listService(service).filter((record) =>
      (record.state === "alive" || record.state === "suspect") &&
      this.#hiddenVersions.get(record.incarnation) !== record.version
    );
    const reachable = usable.filter(({ failureDomain }) =>
      !this.#unreachableDomains.has(failureDomain)
    );
    const instances = reachable.length > 0 ? reachable : usable;
    const alive = instances.filter(({ state }) => state === "alive");
    return alive.length * 2 >= instances.length ? alive : instances;
  }
}
