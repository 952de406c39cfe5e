/**
 * Membership by gossip over UDP, with first contacts from the store.
 */

import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import type { ConfigurationHolder } from "../configuration/mod.ts";
import type { GossipMessage, MemberRecord } from "../generated/types.ts";
import { validateGossipMessage } from "../generated/validators.ts";
import { isIdentityProven, proveIdentity } from "../peer/mod.ts";
import type { ObjectStore } from "../store/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Clock, RandomSource } from "../time/mod.ts";
import { Membership } from "./membership.ts";
import type { OwnRecordChange } from "./membership.ts";

const GOSSIP_INTERVAL_MS = 250;
const GOSSIP_FANOUT = 3;
const MAX_RECORDS = 16;
const SILENCE_LIMIT_MS = 5_000;
const DEAD_RETENTION_MS = 60_000;
const MAX_SEEDS = 8;
const SEED_WRITE_ATTEMPTS = 5;

/** Dependencies of the membership. */
export interface GossipMembershipOptions {
  readonly self: MemberRecord;
  readonly fleetToken: string;
  readonly seeds: readonly string[];
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly configuration: ConfigurationHolder;
}

interface KnownMember {
  record: MemberRecord;
  heardAtMs: number;
}

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** Spreads member records by pushing a few of them to a few members at a time. */
export class GossipMembership extends Membership {
  readonly #options: GossipMembershipOptions;
  readonly #members = new Map<string, KnownMember>();
  #self: MemberRecord;
  #contacts: string[];
  #socket: Socket | undefined;
  #stopGossip: () => void = () => undefined;

  constructor(options: GossipMembershipOptions) {
    super();
    this.#options = options;
    this.#self = options.self;
    this.#contacts = [...options.seeds];
  }

  override get self(): MemberRecord {
    return this.#self;
  }

  override listInstances(service: string): readonly MemberRecord[] {
    return this.listAll().filter((record) =>
      record.service === service && record.state === "alive"
    );
  }

  override find(incarnation: string): MemberRecord | undefined {
    return incarnation === this.#self.incarnation
      ? this.#self
      : this.#members.get(incarnation)?.record;
  }

  override listAll(): readonly MemberRecord[] {
    return [
      this.#self,
      ...[...this.#members.values()].map(({ record }) => record),
    ];
  }

  override updateSelf(change: OwnRecordChange): void {
    this.#self = { ...this.#self, ...change, version: this.#self.version + 1 };
    this.#push(GOSSIP_FANOUT);
  }

  override async start(): Promise<void> {
    const { address, peerPort } = this.#self;
    const socket = createSocket("udp4");
    this.#socket = socket;
    socket.on("message", (bytes) => this.#receive(bytes));
    socket.on(
      "error",
      (error) =>
        this.#options.log.warn({ error: error.message }, "gossip-socket-error"),
    );
    await new Promise<void>((resolve) =>
      socket.bind(peerPort, address, resolve)
    );
    void this.#readSeeds();
    this.#stopGossip = this.#options.clock.scheduleEvery(
      GOSSIP_INTERVAL_MS,
      () => this.#tick(),
    );
  }

  override async stop(): Promise<void> {
    this.#stopGossip();
    this.updateSelf({ state: "dead" });
    await new Promise<void>((resolve) =>
      this.#socket ? this.#socket.close(() => resolve()) : resolve()
    );
  }

  async #readSeeds(): Promise<void> {
    const { store } = this.#options;
    const key = "seeds/fleet";
    const own = `${this.#self.address}:${this.#self.peerPort}`;
    for (let attempt = 0; attempt < SEED_WRITE_ATTEMPTS; attempt += 1) {
      const stored = await store.read(key);
      if (stored.isErr()) {
        await this.#options.clock.sleep(1_000);
        continue;
      }
      const addresses = (stored.value?.value ?? []) as string[];
      this.#contacts = [...new Set([...this.#contacts, ...addresses])];
      if (addresses.includes(own) || addresses.length >= MAX_SEEDS) {
        return;
      }
      const written = await store.write(
        key,
        [...addresses, own],
        stored.value?.version ?? 0,
      );
      if (written.isOk()) {
        return;
      }
    }
  }

  #tick(): void {
    this.updateLiveness();
    this.#push(GOSSIP_FANOUT);
  }

  /** Marks members as dead that were not heard of for too long. */
  updateLiveness(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#self = { ...this.#self, version: this.#self.version + 1 };
    for (const [incarnation, member] of this.#members) {
      const silenceMs = nowMs - member.heardAtMs;
      if (silenceMs > DEAD_RETENTION_MS) {
        this.#members.delete(incarnation);
      } else if (
        silenceMs > SILENCE_LIMIT_MS && member.record.state !== "dead"
      ) {
        member.record = { ...member.record, state: "dead" };
      }
    }
  }

  #push(fanout: number): void {
    for (let count = 0; count < fanout; count += 1) {
      const target = this.#chooseTarget();
      if (target) {
        this.#send(target);
      }
    }
  }

  #chooseTarget(): string | undefined {
    const { random } = this.#options;
    const alive = [...this.#members.values()].filter(({ record }) =>
      record.state !== "dead"
    );
    const known = random.choose(alive)?.record;
    const useContact = !known || random.nextRatio() < 0.2;
    return useContact
      ? random.choose(this.#contacts)
      : `${known.address}:${known.peerPort}`;
  }

  #send(target: string): void {
    const { fleetToken, random, configuration } = this.#options;
    const others = [...this.#members.values()].map(({ record }) => record);
    const records = [this.#self];
    for (let count = 1; count < MAX_RECORDS && others.length > 0; count += 1) {
      records.push(...others.splice(random.nextInteger(others.length), 1));
    }
    const message: GossipMessage = {
      kind: "push",
      sender: this.#self.incarnation,
      proof: proveIdentity(fleetToken, this.#self.incarnation),
      records,
      configurationVersion: configuration.version,
    };
    const [address, port] = target.split(":");
    this.#socket?.send(encoder.encode(message), Number(port), address);
  }

  #receive(bytes: Buffer): void {
    const message = this.#decode(bytes);
    if (
      !message ||
      !isIdentityProven(this.#options.fleetToken, message.sender, message.proof)
    ) {
      this.#options.log.warn({ lengthBytes: bytes.length }, "gossip-invalid");
      return;
    }
    for (const record of message.records) {
      this.#merge(record);
    }
    const peer = this.#members.get(message.sender)?.record;
    if (peer) {
      const { incarnation, address, peerPort } = peer;
      const version = message.configurationVersion;
      this.notifyConfigurationVersion({
        version,
        incarnation,
        address,
        peerPort,
      });
    }
  }

  #decode(bytes: Buffer): GossipMessage | undefined {
    try {
      const message: unknown = decoder.decode(bytes);
      return validateGossipMessage(message) ? message : undefined;
    } catch {
      return undefined;
    }
  }

  #merge(record: MemberRecord): void {
    if (record.incarnation === this.#self.incarnation) {
      return;
    }
    const known = this.#members.get(record.incarnation);
    if (known && known.record.version >= record.version) {
      return;
    }
    this.#members.set(record.incarnation, {
      record,
      heardAtMs: this.#options.clock.monotonicMs(),
    });
  }
}
