/**
 * Taking of the records that a message carries: kept, passed on, or answered
 * with a newer one.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { MERGE_OUTCOMES } from "./member_table.ts";
import type { RemoteContacts } from "./remote_contacts.ts";
import type { SeenRumors } from "./seen_rumors.ts";
import type { ServiceInterest } from "./service_interest.ts";

/** What decides on records beside the table. */
export interface RecordIntakeOptions {
  readonly interest: ServiceInterest;
  readonly contacts: RemoteContacts;
  readonly seen: SeenRumors;
}

/** Takes records for one daemon. */
export class RecordIntake {
  readonly #context: GossipContext;
  readonly #options: RecordIntakeOptions;
  #isLearning = false;

  constructor(context: GossipContext, options: RecordIntakeOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Whether the records being taken answer a question, so that they are no news to others. */
  get isLearning(): boolean {
    return this.#isLearning;
  }

  /** Takes the records of a message and answers with one that is newer here. */
  take(message: GossipMessage, source: string): void {
    const { link, table } = this.#context;
    let newer: MemberRecord | undefined;
    this.#isLearning = message.kind === "push" && message.isReply === true;
    for (const record of message.records) {
      if (this.#takeOne(record)) {
        newer ??= table.get(record.incarnation);
      }
    }
    this.#isLearning = false;
    if (newer) {
      link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: [newer],
      });
    }
  }

  /** Forgets records of other failure domains that are not needed any more; gives them. */
  dropUnwanted(): MemberRecord[] {
    const { table } = this.#context;
    const unwanted = table.list().filter((record) =>
      record.state !== "dead" && !this.#isWanted(record)
    );
    unwanted.forEach(({ incarnation }) => table.forget(incarnation));
    return unwanted;
  }

  /** Takes one record; tells whether the sender should hear of a newer one. */
  #takeOne(record: MemberRecord): boolean {
    const { rumors, table } = this.#context;
    const { contacts, seen } = this.#options;
    if (record.failureDomain !== table.self.failureDomain) {
      contacts.add(record.failureDomain, nameTarget(record));
    }
    if (this.#isKept(record)) {
      return table.merge(record) === MERGE_OUTCOMES.stale;
    }
    if (!this.#isLearning && seen.isNews(record)) {
      rumors.add(record);
    }
    return false;
  }

  #isKept(record: MemberRecord): boolean {
    return this.#context.table.get(record.incarnation) !== undefined ||
      this.#isWanted(record);
  }

  #isWanted({ failureDomain, incarnation, service }: MemberRecord): boolean {
    const { isDelegate, table } = this.#context;
    const { interest, seen } = this.#options;
    return failureDomain === table.self.failureDomain || isDelegate() ||
      seen.isExpected(incarnation) ||
      interest.wants(service, table.self.service);
  }
}
