/**
 * Membership that a test decides.
 */

import type { MemberRecord } from "../../generated/types.ts";
import { Membership } from "../../membership/mod.ts";
import type { OwnRecordChange } from "../../membership/mod.ts";

/** Records of all daemons of a test. */
export type Directory = Map<string, MemberRecord>;

/** One daemon's view of a directory that all share. */
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
    // Every change is seen at once.
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    return Promise.resolve();
  }
}
