/**
 * Processing of received records: each is merged into the table, or forwarded as
 * a rumor if this daemon does not need it. Outdated records are answered with a
 * newer one.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import type { FleetNotice } from "./membership.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { MERGE_OUTCOMES } from "./member_table.ts";
import { readNotice } from "./notice_record.ts";
import type { RemoteContacts } from "./remote_contacts.ts";
import type { SeenRumors } from "./seen_rumors.ts";
import type { ServiceInterest } from "./service_interest.ts";

/** State that determines whether a record is stored or forwarded. */
export interface RecordReceiverOptions {
  readonly interest: ServiceInterest;
  readonly contacts: RemoteContacts;
  readonly seenRumors: SeenRumors;
  /** Called for each notice, known ones included. */
  readonly handleNotice: (notice: FleetNotice) => void;
}

/** Processes the records received by one daemon. */
export class RecordReceiver {
  readonly #context: GossipContext;
  readonly #options: RecordReceiverOptions;
  #isReceivingReply = false;

  constructor(context: GossipContext, options: RecordReceiverOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Whether the records being processed are a reply, and so are not new to other daemons. */
  get isReceivingReply(): boolean {
    return this.#isReceivingReply;
  }

  /**
   * Processes the records of a message. If any are outdated, replies with the
   * newer version of the first.
   */
  receive(message: GossipMessage, source: string): void {
    const { link, table } = this.#context;
    let newer: MemberRecord | undefined;
    this.#isReceivingReply = message.kind === "push" &&
      message.isReply === true;
    for (const record of message.records) {
      const notice = readNotice(record);
      if (notice) {
        this.#options.handleNotice(notice);
      }
      if (this.#receiveRecord(record)) {
        newer ??= table.get(record.incarnation);
      }
    }
    this.#isReceivingReply = false;
    if (newer) {
      link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: [newer],
      });
    }
  }

  /** Removes and returns records of other failure domains that are no longer needed. */
  removeUnneeded(): MemberRecord[] {
    const { table } = this.#context;
    const unneeded = table.list().filter((record) =>
      record.state !== "dead" && !this.#isNeeded(record)
    );
    unneeded.forEach(({ incarnation }) => table.remove(incarnation));
    return unneeded;
  }

  /** Processes one record. Returns whether a newer one is known here. */
  #receiveRecord(record: MemberRecord): boolean {
    const { rumors, table } = this.#context;
    const { contacts, seenRumors } = this.#options;
    if (record.failureDomain !== table.self.failureDomain) {
      contacts.add(record.failureDomain, formatGossipAddress(record));
    }
    if (this.#shouldStore(record)) {
      return table.merge(record) === MERGE_OUTCOMES.stale;
    }
    if (!this.#isReceivingReply && seenRumors.addIfNew(record)) {
      rumors.add(record);
    }
    return false;
  }

  #shouldStore(record: MemberRecord): boolean {
    return this.#context.table.get(record.incarnation) !== undefined ||
      this.#isNeeded(record);
  }

  #isNeeded({ failureDomain, incarnation, service }: MemberRecord): boolean {
    const { isDelegate, table } = this.#context;
    const { interest, seenRumors } = this.#options;
    return failureDomain === table.self.failureDomain || isDelegate() ||
      seenRumors.isExpected(incarnation) ||
      interest.isNeeded(service, table.self.service);
  }
}
