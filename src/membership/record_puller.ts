/**
 * How a daemon that is no delegate learns of the instances of other failure
 * domains that it needs, and how a delegate answers.
 *
 * Each delegate numbers its changes; a daemon asks for what changed after the
 * number that it has reached, so an answer holds nothing twice.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { hashText } from "../hashing/mod.ts";
import { chooseSubset, NAMED_PULL_LIMIT } from "./service_interest.ts";
import type { ServiceInterest } from "./service_interest.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Interval between general pulls while nothing is missing, in milliseconds. */
const IDLE_INTERVAL_MS = 120_000;

/** Interval at which named services are asked for in full, in milliseconds. */
const REFRESH_INTERVAL_MS = 600_000;

/** Wait after the loss of a remote instance before others are asked for, in milliseconds. */
const REPLACE_DELAY_MS = 2_000;

/** Interval between pulls while more is to come, in milliseconds. */
const BUSY_INTERVAL_MS = 100;

/** Wait for an answer before the pull is repeated, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Services named by one pull. */
const MAX_NAMED_SERVICES = 16;

/** Wait after the first complete answer, and its growth with each further one. */
const FIRST_WAIT_MS = 1_000;
const WAIT_GROWTH = 6;

interface Cursor {
  position: number;
  dueAtMs: number;
  waitMs: number;
  readonly longestWaitMs: number;
}

/** Pulls records from one delegate at a time. */
export class RecordPuller {
  readonly #context: GossipContext;
  readonly #interest: ServiceInterest;
  readonly #named = createCursor(REFRESH_INTERVAL_MS);
  readonly #general = createCursor(IDLE_INTERVAL_MS);
  #delegate = "";
  #nextNamed = 0;

  constructor(context: GossipContext, interest: ServiceInterest) {
    this.#context = context;
    this.#interest = interest;
  }

  /** Asks again for everything that is of interest. */
  restart(): void {
    this.#reset(this.#named);
    this.#reset(this.#general);
  }

  /** Asks again for the services that are named one by one. */
  restartNamed(): void {
    this.#reset(this.#named);
  }

  /** Asks for named services again soon, since a remote instance was lost. */
  replaceLost(): void {
    const { clock } = this.#context;
    const dueAtMs = clock.monotonicMs() + this.#jitter(REPLACE_DELAY_MS);
    this.#named.dueAtMs = Math.min(this.#named.dueAtMs, dueAtMs);
  }

  /** Sends the pulls that are due. */
  pullDue(): void {
    const { clock, isDelegate, table } = this.#context;
    if (isDelegate()) {
      return;
    }
    const delegate = this.#chooseDelegate();
    if (!delegate) {
      return;
    }
    if (delegate.incarnation !== this.#delegate) {
      this.#delegate = delegate.incarnation;
      this.restart();
    }
    const nowMs = clock.monotonicMs();
    const target = nameTarget(delegate);
    const { service } = table.self;
    if (nowMs >= this.#named.dueAtMs) {
      const services = this.#nextServices(service);
      if (services.length > 0) {
        this.#send(target, this.#named, { service, services });
        return;
      }
    }
    if (nowMs >= this.#general.dueAtMs) {
      this.#send(target, this.#general, { service });
    }
  }

  /** Takes the answer of the delegate that was asked last. */
  handleAnswer(message: GossipMessage): void {
    if (message.sender !== this.#delegate || message.position === undefined) {
      return;
    }
    const cursor = message.services ? this.#named : this.#general;
    const nowMs = this.#context.clock.monotonicMs();
    cursor.position = Math.max(cursor.position, message.position);
    if (message.records.length > 0) {
      cursor.dueAtMs = nowMs + BUSY_INTERVAL_MS;
    } else if (cursor === this.#general) {
      this.#rest(cursor);
    } else {
      this.#finishNamed(nowMs);
    }
  }

  /** Answers a pull, as a delegate. */
  handlePull(message: GossipMessage, source: string): void {
    const { link, isDelegate, table } = this.#context;
    const { incarnations, position = 0, services } = message;
    if (incarnations) {
      this.#answerLookUp(incarnations, source);
      return;
    }
    if (!isDelegate()) {
      return;
    }
    const matching: { record: MemberRecord; position: number }[] = [];
    for (const change of table.listChangedAfter(position)) {
      if (this.#isFor(message, change.record)) {
        matching.push(change);
        if (matching.length >= MAX_NAMED_SERVICES) {
          break;
        }
      }
    }
    const records = takeWithinBytes(matching.map(({ record }) => record));
    link.send(source, {
      kind: "push",
      sequence: message.sequence,
      isReply: true,
      records,
      position: matching[records.length - 1]?.position ?? table.position,
      ...services ? { services } : {},
    });
  }

  #answerLookUp(incarnations: readonly string[], source: string): void {
    const { link, table } = this.#context;
    const records = incarnations.flatMap((incarnation) =>
      table.get(incarnation) ?? []
    );
    if (records.length > 0) {
      link.send(source, { kind: "push", sequence: 0, isReply: true, records });
    }
  }

  #isFor(message: GossipMessage, record: MemberRecord): boolean {
    const { table } = this.#context;
    const { sender, service = "", services } = message;
    if (record.failureDomain === table.self.failureDomain) {
      return false;
    }
    const isNamed = services?.includes(record.service) ?? false;
    const limit = services
      ? (isNamed ? NAMED_PULL_LIMIT : 0)
      : this.#interest.limitFor(record.service, service);
    if (limit === 0 || record.state === "dead") {
      return limit > 0 && (message.position ?? 0) > 0;
    }
    const remote = table.listService(record.service).filter((
      { failureDomain },
    ) => failureDomain !== table.self.failureDomain);
    return chooseSubset(remote, sender, limit).has(record.incarnation);
  }

  #finishNamed(nowMs: number): void {
    const { table } = this.#context;
    const named = this.#interest.listNamed(table.self.service);
    this.#nextNamed += MAX_NAMED_SERVICES;
    this.#named.position = 0;
    const isRoundOver = this.#nextNamed >= named.length;
    if (isRoundOver) {
      this.#rest(this.#named);
    } else {
      this.#named.dueAtMs = nowMs + BUSY_INTERVAL_MS;
    }
  }

  #nextServices(service: string): string[] {
    const named = this.#interest.listNamed(service);
    if (this.#nextNamed >= named.length) {
      this.#nextNamed = 0;
    }
    return named.slice(this.#nextNamed, this.#nextNamed + MAX_NAMED_SERVICES);
  }

  #send(
    target: string,
    cursor: Cursor,
    content: { service: string; services?: string[] },
  ): void {
    const { clock, link } = this.#context;
    cursor.dueAtMs = clock.monotonicMs() + this.#jitter(ANSWER_TIMEOUT_MS);
    const { position } = cursor;
    link.send(target, {
      kind: "pull",
      sequence: 0,
      records: [],
      position,
      ...content,
    });
  }

  #chooseDelegate(): MemberRecord | undefined {
    const { table } = this.#context;
    const delegates = chooseDelegates(
      table.listDomain(table.self.failureDomain),
    );
    return delegates[hashText(table.self.incarnation) % delegates.length];
  }

  /** Waits longer after each complete answer. */
  #rest(cursor: Cursor): void {
    cursor.dueAtMs = this.#context.clock.monotonicMs() +
      this.#jitter(cursor.waitMs);
    cursor.waitMs = Math.min(cursor.waitMs * WAIT_GROWTH, cursor.longestWaitMs);
  }

  #reset(cursor: Cursor): void {
    cursor.position = 0;
    cursor.waitMs = FIRST_WAIT_MS;
    cursor.dueAtMs = this.#context.clock.monotonicMs();
    this.#nextNamed = 0;
  }

  #jitter(durationMs: number): number {
    return durationMs * (0.75 + this.#context.random.nextFloat() / 2);
  }
}

function createCursor(longestWaitMs: number): Cursor {
  return { position: 0, dueAtMs: 0, waitMs: FIRST_WAIT_MS, longestWaitMs };
}
