/**
 * The instances of each service that new work may be sent to, kept ready for
 * the dispatch of calls.
 */

import type { MemberRecord } from "../generated/types.ts";
import type { MemberTable } from "./member_table.ts";

/** Lists of instances by service, built when they are asked for. */
export class InstanceView {
  readonly #table: MemberTable;
  readonly #lists = new Map<string, readonly MemberRecord[]>();
  readonly #hiddenVersions = new Map<string, number>();
  #unreachable: ReadonlySet<string> = new Set();

  constructor(table: MemberTable) {
    this.#table = table;
  }

  /**
   * Instances that take new work. Suspects stay while they are more than half,
   * and instances of unreachable failure domains while there are no others, so
   * that a wrong suspicion never empties a service.
   */
  list(service: string): readonly MemberRecord[] {
    const known = this.#lists.get(service);
    if (known) {
      return known;
    }
    const list = this.#build(service);
    this.#lists.set(service, list);
    return list;
  }

  /** Follows a change of a record. */
  noteChange(record: MemberRecord, previous: MemberRecord | undefined): void {
    this.#lists.delete(record.service);
    this.#lists.delete(previous?.service ?? "");
    this.#hiddenVersions.delete(record.incarnation);
  }

  /** Leaves out an instance that refused because it is leaving, until its next version arrives. */
  hide({ incarnation, service, version }: MemberRecord): void {
    this.#hiddenVersions.set(incarnation, version);
    this.#lists.delete(service);
  }

  /** Takes the word of the delegates; a failure domain is unreachable if all of them say so. */
  updateUnreachable(delegates: readonly MemberRecord[]): void {
    const [first, ...others] = delegates.map(({ unreachableDomains }) =>
      unreachableDomains ?? []
    );
    const unreachable = (first ?? []).filter((domain) =>
      others.every((domains) => domains.includes(domain))
    );
    const isSame = unreachable.length === this.#unreachable.size &&
      unreachable.every((domain) => this.#unreachable.has(domain));
    if (!isSame) {
      this.#unreachable = new Set(unreachable);
      this.#lists.clear();
    }
  }

  #build(service: string): MemberRecord[] {
    const usable = this.#table.listService(service).filter((record) =>
      (record.state === "alive" || record.state === "suspect") &&
      this.#hiddenVersions.get(record.incarnation) !== record.version
    );
    const reachable = usable.filter(({ failureDomain }) =>
      !this.#unreachable.has(failureDomain)
    );
    const instances = reachable.length > 0 ? reachable : usable;
    const alive = instances.filter(({ state }) => state === "alive");
    return alive.length * 2 >= instances.length ? alive : instances;
  }
}
