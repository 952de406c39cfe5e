/**
 * Membership that the test controls, in place of gossip.
 */

import type { MemberRecord } from "../../generated/types.ts";
import { Membership } from "../../membership/mod.ts";
import type { OwnRecordChange } from "../../membership/mod.ts";

/** Member records of all daemons of a test, by incarnation. */
export type Directory = Map<string, MemberRecord>;

/** A daemon's membership, backed by a directory that all daemons share. */
export class SharedMembership extends Membership {
  readonly #directory: Directory;
  readonly #incarnation: string;
  readonly #own: MemberRecord;

  constructor(directory: Directory, self: MemberRecord) {
    super();
    this.#directory = directory;
    this.#incarnation = self.incarnation;
    this.#own = self;
    directory.set(self.incarnation, self);
  }

  override get self(): MemberRecord {
    return this.#directory.get(this.#incarnation) ?? this.#own;
  }

  override listInstances(service: string): readonly MemberRecord[] {
    return this.listAll().filter((record) =>
      record.service === service && record.state === "alive"
    );
  }

  override find(incarnation: string): MemberRecord | undefined {
    return this.#directory.get(incarnation);
  }

  override listAll(): readonly MemberRecord[] {
    return [...this.#directory.values()];
  }

  override updateSelf(change: OwnRecordChange): void {
    this.#directory.set(this.#incarnation, { ...this.self, ...change });
  }

  override announceConfigurationVersion(): void {
    // Not needed: changes of the directory are visible to all daemons immediately.
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}
