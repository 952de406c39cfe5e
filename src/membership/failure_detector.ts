/**
 * Detection of failed members of the own failure domain: direct probes,
 * indirect probes through others, suspicion, and eviction after the time in
 * which a suspect can refute it.
 */

import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { DECISIONS } from "../telemetry/mod.ts";
import { chooseSeveral, nameTarget } from "./gossip_context.ts";
import type { GossipContext } from "./gossip_context.ts";
import { MERGE_OUTCOMES } from "./member_table.ts";
import { takeWithinBytes } from "./take_within_bytes.ts";

/** Interval between two probes of a daemon, in milliseconds. */
export const PROBE_INTERVAL_MS = 1_000;

/** Wait for an ack before others are asked to probe, in milliseconds. */
const ACK_TIMEOUT_MS = 350;

/** Members that are asked to probe indirectly. */
const INDIRECT_PROBES = 3;

/** Time that a suspect has to refute, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;

/** Silence of everybody after which a daemon accuses nobody, in milliseconds. */
const ISOLATION_MS = 3_000;

/** Members beside this one from which isolation can be told from their failure. */
const MIN_MEMBERS_FOR_ISOLATION = 3;

/** Room for rumors on a probe, in bytes. */
const PIGGYBACK_BYTES = 420;

const SEQUENCE_LIMIT = 0x8000_0000;

interface Probe {
  readonly incarnation: string;
  readonly sequence: number;
  readonly version: number;
}

interface Relay {
  readonly requester: string;
  readonly sequence: number;
  readonly expiresAtMs: number;
}

interface Suspicion {
  readonly version: number;
  dueAtMs: number;
}

/** Probes one member after another, each once in a round of random order. */
export class FailureDetector {
  readonly #context: GossipContext;
  readonly #suspicionTimeoutMs: number;
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #relays = new Map<number, Relay>();
  #round: string[] = [];
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

  /** Ends the current probe and begins the next. */
  probeNext(): void {
    this.#concludeProbe();
    this.#forgetRelays();
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
    clock.schedule(ACK_TIMEOUT_MS, () => this.#probeIndirectly(probe));
  }

  /** Answers a probe. */
  handlePing(message: GossipMessage, source: string): void {
    this.#send(source, "ack", {
      sequence: message.sequence,
      about: message.sender,
    });
  }

  /** Probes a member for another daemon. */
  handlePingRequest(message: GossipMessage, source: string): void {
    const { clock } = this.#context;
    const sequence = this.#nextSequence();
    this.#relays.set(sequence, {
      requester: source,
      sequence: message.sequence,
      expiresAtMs: clock.monotonicMs() + PROBE_INTERVAL_MS,
    });
    this.#send(message.target ?? "", "ping", { sequence, about: "" });
  }

  /** Takes the answer to a probe, or passes it on to the one who asked for it. */
  handleAck({ sequence }: GossipMessage): void {
    if (this.#probe?.sequence === sequence) {
      this.#probe = undefined;
      this.#lastAckAtMs = this.#context.clock.monotonicMs();
    }
    const relay = this.#relays.get(sequence);
    if (relay) {
      this.#relays.delete(sequence);
      this.#send(relay.requester, "ack", {
        sequence: relay.sequence,
        about: "",
      });
    }
  }

  /** Follows the state of a member: a suspicion begins or ends. */
  noteChange(
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

  /** Evicts suspects that did not refute in time. */
  evictSuspects(): void {
    const { clock } = this.#context;
    const nowMs = clock.monotonicMs();
    if (this.#isIsolated(nowMs)) {
      this.restart();
      return;
    }
    for (const [incarnation, suspicion] of [...this.#suspicions]) {
      if (nowMs >= suspicion.dueAtMs) {
        this.#evict(incarnation, suspicion);
      }
    }
  }

  /** Gives every suspect its full time again, after this daemon itself was paused or cut off. */
  restart(): void {
    const nowMs = this.#context.clock.monotonicMs();
    this.#probe = undefined;
    for (const suspicion of this.#suspicions.values()) {
      suspicion.dueAtMs = nowMs + this.#suspicionTimeoutMs;
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
    if (outcome === MERGE_OUTCOMES.held) {
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
    return others >= MIN_MEMBERS_FOR_ISOLATION &&
      nowMs - this.#lastAckAtMs > ISOLATION_MS;
  }

  #concludeProbe(): void {
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
      while (this.#round.length > 0) {
        const next = this.#round.pop();
        if (next !== undefined && isTarget(next)) {
          return next;
        }
      }
      const others = table.listDomain(table.self.failureDomain)
        .map(({ incarnation }) => incarnation)
        .filter((incarnation) => incarnation !== table.self.incarnation);
      this.#round = chooseSeveral(random, others, others.length);
    }
    return undefined;
  }

  #probeIndirectly(probe: Probe): void {
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
    for (const helper of chooseSeveral(random, helpers, INDIRECT_PROBES)) {
      this.#context.link.send(nameTarget(helper), {
        kind: "ping-request",
        sequence: probe.sequence,
        target: nameTarget(target ?? helper),
        records: [],
      });
    }
  }

  #sendPing(member: MemberRecord, sequence: number): void {
    this.#send(nameTarget(member), "ping", {
      sequence,
      about: member.incarnation,
    });
  }

  /** Sends a probe or its answer, with what the receiver should refute first. */
  #send(
    target: string,
    kind: "ping" | "ack",
    { sequence, about }: { sequence: number; about: string },
  ): void {
    const { link, rumors, table } = this.#context;
    const known = table.get(about);
    const accusation =
      known && (known.state === "suspect" || known.state === "dead")
        ? [known]
        : [];
    const records = takeWithinBytes([
      ...accusation,
      ...rumors.listPiggybacks().filter((record) => record !== known),
    ], PIGGYBACK_BYTES);
    rumors.markPiggybacked(records);
    link.send(target, { kind, sequence, records });
  }

  #nextSequence(): number {
    return this.#context.random.nextInteger(SEQUENCE_LIMIT);
  }

  #forgetRelays(): void {
    const nowMs = this.#context.clock.monotonicMs();
    for (const [sequence, { expiresAtMs }] of this.#relays) {
      if (expiresAtMs < nowMs) {
        this.#relays.delete(sequence);
      }
    }
  }
}
