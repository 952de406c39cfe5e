/**
 * SWIM-style failure detection within this daemon's failure domain: direct
 * probes, indirect probes through other members, suspicion, and eviction of
 * suspects that do not refute in time.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { chooseSample, formatGossipAddress } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { MERGE_OUTCOMES } from "./member_table.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Interval at which a daemon sends probes, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;

/** Time to wait for an ack before requesting indirect probes, in milliseconds. */
const ACK_TIMEOUT_MS = 350;

/** Number of members asked for an indirect probe. */
const INDIRECT_PROBES = 3;

/** Time in which a suspect can refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;

/**
 * Time without any ack after which a daemon considers itself isolated and
 * neither suspects nor evicts members, in milliseconds.
 */
const ISOLATION_TIMEOUT_MS = 3_000;

/**
 * Minimum number of other members for a daemon to distinguish its own isolation
 * from their failure.
 */
const MIN_PEERS_FOR_ISOLATION = 3;

/** Maximum number of indirect probes in progress; a daemon is asked for a few in a second. */
const MAX_INDIRECT_PROBES = 256;

/** Maximum size of the records piggybacked on a probe or ack, in bytes. */
const MAX_PIGGYBACK_BYTES = 420;

/** Exclusive upper bound of sequence numbers. */
const SEQUENCE_RANGE = 0x8000_0000;

interface Probe {
  readonly incarnation: string;
  readonly sequence: number;
  readonly version: number;
}

/** Probe sent on behalf of another daemon, to which the ack is relayed. */
interface IndirectProbe {
  readonly requester: string;
  readonly sequence: number;
  readonly expiresAtMs: number;
}

interface Suspicion {
  readonly version: number;
  dueAtMs: number;
}

/** Probes the members in turn, each once per round in random order. */
export class FailureDetector {
  readonly #context: GossipContext;
  readonly #suspicionTimeoutMs: number;
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #indirectProbes = new Map<number, IndirectProbe>();
  #probeOrder: string[] = [];
  #probe: Probe | undefined;
  #lastAckAtMs: number;

  constructor(
    context: GossipContext,
    suspicionTimeoutMs = SUSPICION_TIMEOUT_MS,
  ) {
    this.#context = context;
    this.#suspicionTimeoutMs = suspicionTimeoutMs;
    this.#lastAckAtMs = context.clock.monotonicMs();
  }

  /** Finishes the current probe and starts the next. */
  probeNext(): void {
    this.#finishProbe();
    this.#removeExpiredIndirectProbes();
    const { clock, table } = this.#context;
    const target = this.#chooseTarget();
    if (!target) {
      this.#lastAckAtMs = clock.monotonicMs();
      return;
    }
    const { incarnation, version } = table.get(target) ?? table.self;
    const probe = { incarnation, version, sequence: this.#nextSequence() };
    this.#probe = probe;
    this.#sendPing(table.get(target) ?? table.self, probe.sequence);
    clock.schedule(ACK_TIMEOUT_MS, () => this.#requestIndirectProbes(probe));
  }

  /** Answers a probe. */
  handlePing(message: GossipMessage, source: string): void {
    this.#send(source, "ack", {
      sequence: message.sequence,
      subject: message.sender,
    });
  }

  /** Probes a member on behalf of another daemon. */
  handlePingRequest(message: GossipMessage, source: string): void {
    const { clock } = this.#context;
    if (this.#indirectProbes.size >= MAX_INDIRECT_PROBES) {
      return;
    }
    const sequence = this.#nextSequence();
    this.#indirectProbes.set(sequence, {
      requester: source,
      sequence: message.sequence,
      expiresAtMs: clock.monotonicMs() + PROBE_INTERVAL_MS,
    });
    this.#send(message.target ?? "", "ping", { sequence, subject: "" });
  }

  /**
   * Completes the current probe, or relays the ack to the daemon that requested
   * an indirect probe.
   */
  handleAck({ sequence }: GossipMessage): void {
    if (this.#probe?.sequence === sequence) {
      this.#probe = undefined;
      this.#lastAckAtMs = this.#context.clock.monotonicMs();
    }
    const indirectProbe = this.#indirectProbes.get(sequence);
    if (indirectProbe) {
      this.#indirectProbes.delete(sequence);
      this.#send(indirectProbe.requester, "ack", {
        sequence: indirectProbe.sequence,
        subject: "",
      });
    }
  }

  /** Starts or clears the suspicion timeout when a member's state changes. */
  handleChange(
    { incarnation, state, version, failureDomain }: MemberRecord,
  ): void {
    const { clock, table } = this.#context;
    if (state !== "suspect" || failureDomain !== table.self.failureDomain) {
      this.#suspicions.delete(incarnation);
      return;
    }
    const dueAtMs = clock.monotonicMs() + this.#suspicionTimeoutMs;
    this.#suspicions.set(incarnation, { version, dueAtMs });
  }

  /** Evicts suspects whose suspicion timeout has expired, and asks the others to refute. Called every {@link PROBE_INTERVAL_MS}. */
  evictSuspects(): void {
    const { clock } = this.#context;
    const nowMs = clock.monotonicMs();
    if (this.#isIsolated(nowMs)) {
      this.resetTimeouts();
      return;
    }
    for (const [incarnation, suspicion] of [...this.#suspicions]) {
      if (nowMs >= suspicion.dueAtMs) {
        this.#evict(incarnation, suspicion);
      } else {
        this.#askSuspect(incarnation);
      }
    }
  }

  /** Restarts all suspicion timeouts, after this daemon was paused or isolated. */
  resetTimeouts(): void {
    const nowMs = this.#context.clock.monotonicMs();
    this.#probe = undefined;
    for (const suspicion of this.#suspicions.values()) {
      suspicion.dueAtMs = nowMs + this.#suspicionTimeoutMs;
    }
  }

  /** Sends a suspect its record, so that it refutes to this daemon directly if the rumor of its refutation got lost. */
  #askSuspect(incarnation: string): void {
    const suspect = this.#context.table.get(incarnation);
    if (suspect) {
      this.#sendPing(suspect, this.#nextSequence());
    }
  }

  #evict(incarnation: string, suspicion: Suspicion): void {
    const { clock, journal, table } = this.#context;
    const known = table.get(incarnation);
    if (known?.version !== suspicion.version) {
      this.#suspicions.delete(incarnation);
      return;
    }
    const outcome = table.merge({ ...known, state: "dead" });
    if (outcome === MERGE_OUTCOMES.rejected) {
      suspicion.dueAtMs = clock.monotonicMs() + this.#suspicionTimeoutMs;
      journal?.record(DECISIONS.membershipChange, {
        change: "eviction-held",
        incarnation,
        service: known.service,
        domainSize: table.listDomain(known.failureDomain).length,
      });
    }
  }

  #isIsolated(nowMs: number): boolean {
    const { table } = this.#context;
    const others = table.listDomain(table.self.failureDomain).length - 1;
    return others >= MIN_PEERS_FOR_ISOLATION &&
      nowMs - this.#lastAckAtMs > ISOLATION_TIMEOUT_MS;
  }

  #finishProbe(): void {
    const probe = this.#probe;
    this.#probe = undefined;
    const known = probe && this.#context.table.get(probe.incarnation);
    if (!known || known.version !== probe.version) {
      return;
    }
    if (known.state === "alive") {
      this.#context.table.merge({ ...known, state: "suspect" });
    } else if (
      known.state === "leaving" && !this.#suspicions.has(known.incarnation)
    ) {
      const dueAtMs = this.#context.clock.monotonicMs() +
        this.#suspicionTimeoutMs;
      this.#suspicions.set(known.incarnation, {
        version: known.version,
        dueAtMs,
      });
    }
  }

  #chooseTarget(): string | undefined {
    const { random, table } = this.#context;
    const isTarget = (incarnation: string) => {
      const state = table.get(incarnation)?.state;
      return state !== undefined && state !== "dead";
    };
    for (let attempt = 0; attempt < 2; attempt += 1) {
      while (this.#probeOrder.length > 0) {
        const next = this.#probeOrder.pop();
        if (next !== undefined && isTarget(next)) {
          return next;
        }
      }
      const others = table.listDomain(table.self.failureDomain)
        .map(({ incarnation }) => incarnation)
        .filter((incarnation) => incarnation !== table.self.incarnation);
      this.#probeOrder = chooseSample(random, others, others.length);
    }
    return undefined;
  }

  #requestIndirectProbes(probe: Probe): void {
    const { random, table } = this.#context;
    if (this.#probe !== probe) {
      return;
    }
    const target = table.get(probe.incarnation);
    const helpers = table.listDomain(table.self.failureDomain).filter((
      { incarnation, state },
    ) =>
      state === "alive" && incarnation !== probe.incarnation &&
      incarnation !== table.self.incarnation
    );
    for (const helper of chooseSample(random, helpers, INDIRECT_PROBES)) {
      this.#context.link.send(formatGossipAddress(helper), {
        kind: "ping-request",
        sequence: probe.sequence,
        target: formatGossipAddress(target ?? helper),
        records: [],
      });
    }
  }

  #sendPing(member: MemberRecord, sequence: number): void {
    this.#send(formatGossipAddress(member), "ping", {
      sequence,
      subject: member.incarnation,
    });
  }

  /**
   * Sends a ping or ack. If the subject is known as suspect or dead, its record
   * goes first, so that the subject can refute it.
   */
  #send(
    target: string,
    kind: "ping" | "ack",
    { sequence, subject }: { sequence: number; subject: string },
  ): void {
    const { link, rumors, table } = this.#context;
    const known = table.get(subject);
    const refutable =
      known && (known.state === "suspect" || known.state === "dead")
        ? [known]
        : [];
    const records = takeWithinBytes([
      ...refutable,
      ...rumors.listPiggybacks().filter((record) => record !== known),
    ], MAX_PIGGYBACK_BYTES);
    rumors.markPiggybacked(records);
    link.send(target, { kind, sequence, records });
  }

  #nextSequence(): number {
    return this.#context.random.nextInteger(SEQUENCE_RANGE);
  }

  #removeExpiredIndirectProbes(): void {
    const nowMs = this.#context.clock.monotonicMs();
    for (const [sequence, { expiresAtMs }] of this.#indirectProbes) {
      if (expiresAtMs < nowMs) {
        this.#indirectProbes.delete(sequence);
      }
    }
  }
}
