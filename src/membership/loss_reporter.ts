/**
 * Detection of processes that ended without saying that they leave, for instance
 * because the system killed them. Such a process writes no last line, so the
 * others, and the process that takes its address over, tell of it.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { startedAfter } from "./started_after.ts";

/** A member that ended without saying that it leaves. */
export interface MemberLoss {
  /** The last record that it published. */
  readonly member: MemberRecord;
  /** Whether it had this daemon's address. */
  readonly isPredecessor: boolean;
  /** Time since its last message to this daemon, in milliseconds; undefined if there was none. */
  readonly silentMs: number | undefined;
}

/** Called once for each loss. */
export type ReportLoss = (loss: MemberLoss) => void;

/** Reports the losses that one daemon learns of. */
export class LossReporter {
  readonly #context: GossipContext;
  readonly #report: ReportLoss;
  /** Start of the latest predecessor that was reported. */
  #predecessorStartedAtMs = Number.NEGATIVE_INFINITY;

  constructor(context: GossipContext, report: ReportLoss) {
    this.#context = context;
    this.#report = report;
  }

  /** Looks for predecessors in the records of a message, before they are merged and count as dead. */
  receive(message: GossipMessage, source: string): void {
    const { self } = this.#context.table;
    for (const record of message.records) {
      if (
        record.address === self.address && record.peerPort === self.peerPort
      ) {
        this.#checkPredecessor(record);
      } else if (record.incarnation === message.sender) {
        this.#tellSuccessor(record, source);
      }
    }
  }

  /**
   * Reports the loss, if a member's change of state is one; returns facts on it.
   * A member that leaves raises the version of its record, and no other can.
   */
  handleChange(
    record: MemberRecord,
    previous: MemberRecord,
  ): { readonly isVanished?: boolean; readonly silentMs?: number } {
    const isVanished = record.state === "dead" && isRunning(previous) &&
      record.version === previous.version;
    if (!isVanished) {
      return {};
    }
    const { clock, link } = this.#context;
    const heardAtMs = link.getLatestSentAtMs(record.incarnation);
    const silentMs = heardAtMs === undefined
      ? undefined
      : Math.max(0, Math.round(clock.nowMs() - heardAtMs));
    this.#report({ member: previous, isPredecessor: false, silentMs });
    return { isVanished, ...silentMs !== undefined && { silentMs } };
  }

  #checkPredecessor(record: MemberRecord): void {
    const { incarnation } = this.#context.table.self;
    if (
      record.incarnation !== incarnation && isRunning(record) &&
      record.startedAtMs > this.#predecessorStartedAtMs
    ) {
      this.#predecessorStartedAtMs = record.startedAtMs;
      this.#report({
        ...{ member: record, isPredecessor: true },
        silentMs: undefined,
      });
    }
  }

  /** Sends a new process the record of the one that had its address, unless that one said that it leaves. */
  #tellSuccessor(record: MemberRecord, source: string): void {
    const { link, table } = this.#context;
    const address = formatGossipAddress(record);
    const holder = table.findByAddress(address);
    if (
      source === address && holder && isRunning(holder) &&
      holder.incarnation !== record.incarnation && startedAfter(record, holder)
    ) {
      link.send(source, {
        kind: "push",
        sequence: 0,
        isReply: true,
        records: [holder],
      });
    }
  }
}

function isRunning({ state }: MemberRecord): boolean {
  return state === "alive" || state === "suspect";
}
