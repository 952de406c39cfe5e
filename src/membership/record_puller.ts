/**
 * Pull protocol by which a daemon that is not a delegate learns of the instances
 * it needs in other failure domains, and by which delegates respond.
 *
 * Each delegate numbers its changes. A pull requests the changes after the last
 * position received, so that no change is sent twice.
 *
 * A general pull requests the changes of all services that the daemon needs
 * according to the configuration, and continues from its last position. A named
 * pull lists services, and starts over once all their records have been received.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { chooseDelegates } from "./choose_delegates.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { hashText } from "../hashing/mod.ts";
import { chooseSubset, NAMED_PULL_LIMIT } from "./service_interest.ts";
import type { ServiceInterest } from "./service_interest.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Maximum wait between general pulls without changes, before jitter, in milliseconds. */
const IDLE_INTERVAL_MS = 120_000;

/** Maximum wait between full pulls of the named services, before jitter, in milliseconds. */
const REFRESH_INTERVAL_MS = 600_000;

/** Delay between the loss of a remote instance and the pull for replacements, in milliseconds. */
const REPLACEMENT_DELAY_MS = 2_000;

/** Delay before the next pull while more records remain, in milliseconds. */
const CONTINUE_INTERVAL_MS = 100;

/** Time to wait for a response before the pull is repeated, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Maximum number of services named in a pull, and of records in a response. */
const MAX_NAMED_SERVICES = 16;

/** Wait after the first pull that has returned all records, in milliseconds. */
const INITIAL_WAIT_MS = 1_000;

/** Growth factor of the wait after each further pull that has returned all records. */
const WAIT_GROWTH_FACTOR = 6;

/** Progress and schedule of one kind of pull. */
interface PullCursor {
  /** Last position received from the delegate. */
  position: number;
  dueAtMs: number;
  waitMs: number;
  readonly maxWaitMs: number;
}

/** Pulls records from one delegate at a time. */
export class RecordPuller {
  readonly #context: GossipContext;
  readonly #interest: ServiceInterest;
  readonly #named = createCursor(REFRESH_INTERVAL_MS);
  readonly #general = createCursor(IDLE_INTERVAL_MS);
  #delegate = "";
  #namedOffset = 0;

  constructor(context: GossipContext, interest: ServiceInterest) {
    this.#context = context;
    this.#interest = interest;
  }

  /** Restarts both kinds of pull from the beginning. */
  restart(): void {
    this.#reset(this.#named);
    this.#reset(this.#general);
  }

  /** Restarts the pull of the named services from the beginning. */
  restartNamed(): void {
    this.#reset(this.#named);
  }

  /** Schedules a pull of the named services to replace a lost remote instance. */
  scheduleReplacementPull(): void {
    const { clock } = this.#context;
    const dueAtMs = clock.monotonicMs() + this.#jitter(REPLACEMENT_DELAY_MS);
    this.#named.dueAtMs = Math.min(this.#named.dueAtMs, dueAtMs);
  }

  /** Sends the pulls that are due. */
  sendDuePulls(): void {
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
    const target = formatGossipAddress(delegate);
    const { service } = table.self;
    if (nowMs >= this.#named.dueAtMs) {
      const services = this.#listNextServices(service);
      if (services.length > 0) {
        this.#sendPull(target, this.#named, { service, services });
        return;
      }
    }
    if (nowMs >= this.#general.dueAtMs) {
      this.#sendPull(target, this.#general, { service });
    }
  }

  /** Handles a response; ignores those from daemons other than the current delegate. */
  handleResponse(message: GossipMessage): void {
    if (message.sender !== this.#delegate || message.position === undefined) {
      return;
    }
    const cursor = message.services ? this.#named : this.#general;
    const nowMs = this.#context.clock.monotonicMs();
    cursor.position = Math.max(cursor.position, message.position);
    if (message.records.length > 0) {
      cursor.dueAtMs = nowMs + CONTINUE_INTERVAL_MS;
    } else if (cursor === this.#general) {
      this.#backOff(cursor);
    } else {
      this.#finishNamedPull(nowMs);
    }
  }

  /**
   * Responds to a pull. Lookups of incarnations are answered by every daemon,
   * others only by delegates.
   */
  handlePull(message: GossipMessage, source: string): void {
    const { link, isDelegate, table } = this.#context;
    const { incarnations, position = 0, services } = message;
    if (incarnations) {
      this.#answerLookup(incarnations, source);
      return;
    }
    if (!isDelegate()) {
      return;
    }
    const matching: { record: MemberRecord; position: number }[] = [];
    for (const change of table.listChangedAfter(position)) {
      if (this.#matchesPull(message, change.record)) {
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

  #answerLookup(incarnations: readonly string[], source: string): void {
    const { link, table } = this.#context;
    const records = incarnations.flatMap((incarnation) =>
      table.get(incarnation) ?? []
    );
    if (records.length > 0) {
      link.send(source, { kind: "push", sequence: 0, isReply: true, records });
    }
  }

  #matchesPull(message: GossipMessage, record: MemberRecord): boolean {
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

  #finishNamedPull(nowMs: number): void {
    const { table } = this.#context;
    const named = this.#interest.listNamed(table.self.service);
    this.#namedOffset += MAX_NAMED_SERVICES;
    this.#named.position = 0;
    const isRoundComplete = this.#namedOffset >= named.length;
    if (isRoundComplete) {
      this.#backOff(this.#named);
    } else {
      this.#named.dueAtMs = nowMs + CONTINUE_INTERVAL_MS;
    }
  }

  #listNextServices(service: string): string[] {
    const named = this.#interest.listNamed(service);
    if (this.#namedOffset >= named.length) {
      this.#namedOffset = 0;
    }
    return named.slice(
      this.#namedOffset,
      this.#namedOffset + MAX_NAMED_SERVICES,
    );
  }

  #sendPull(
    target: string,
    cursor: PullCursor,
    content: { service: string; services?: string[] },
  ): void {
    const { clock, link } = this.#context;
    cursor.dueAtMs = clock.monotonicMs() + this.#jitter(RESPONSE_TIMEOUT_MS);
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

  /** Schedules the next pull with an exponentially increasing wait. */
  #backOff(cursor: PullCursor): void {
    cursor.dueAtMs = this.#context.clock.monotonicMs() +
      this.#jitter(cursor.waitMs);
    cursor.waitMs = Math.min(
      cursor.waitMs * WAIT_GROWTH_FACTOR,
      cursor.maxWaitMs,
    );
  }

  #reset(cursor: PullCursor): void {
    cursor.position = 0;
    cursor.waitMs = INITIAL_WAIT_MS;
    cursor.dueAtMs = this.#context.clock.monotonicMs();
    this.#namedOffset = 0;
  }

  #jitter(durationMs: number): number {
    return durationMs * (0.75 + this.#context.random.nextFloat() / 2);
  }
}

function createCursor(maxWaitMs: number): PullCursor {
  return {
    position: 0,
    dueAtMs: 0,
    waitMs: INITIAL_WAIT_MS,
    maxWaitMs,
  };
}
