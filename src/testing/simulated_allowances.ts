/**
 * Allowance controls of many daemons without a network: each with a clock that
 * can be paused, views that differ, and messages that are delayed, lost or cut
 * off. Records every granted and refused request.
 */

import {
  AllowanceFleet,
  AllowanceMessenger,
  SharedAllowances,
} from "../allowance/mod.ts";
import type {
  AccountLimits,
  AllowanceInvitation,
  AllowanceMessage,
  AllowancePermit,
  AllowanceReply,
  FleetMember,
} from "../allowance/mod.ts";
import { CallController } from "../cancellation/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { ManualClock } from "./manual_clock.ts";
import { PausableClock } from "./pausable_clock.ts";

/** Step of the simulated time, in milliseconds. */
const STEP_MS = 2;

/** Time after which a sender gives up waiting for a reply, in milliseconds. */
const REPLY_TIMEOUT_MS = 600;

/** Delay until members see that another one joined or left, at most, in milliseconds. */
const VIEW_DELAY_MS = 1_500;

/** Time until a member that ended without notice counts as dead, at least and at most, in milliseconds. */
const DEATH_DELAY_MS = [3_000, 6_000] as const;

/** Members and faults of a fleet. */
export interface SimulatedAllowancesPlan {
  readonly seed: number;
  /** Number of daemons; at most 60 are needed. */
  readonly daemons: number;
  /** Failure domains; the first half of them is one region, the rest another. */
  readonly domains: number;
  /** Ratio of messages that get lost. */
  readonly lossRatio?: number;
  /** Longest additional delay of a message, in milliseconds. */
  readonly extraDelayMs?: number;
  /** Longest delay until a daemon's view follows a change, in milliseconds. */
  readonly viewDelayMs?: number;
  /** Injected defect, to show that the checks notice it. */
  readonly defect?: "endless-delegation" | "uncounted-silent-members";
}

/** A request that was granted or refused. */
export interface AllowanceEvent {
  readonly atMs: number;
  readonly account: string;
  readonly vm: number;
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

interface Node {
  readonly vm: number;
  readonly member: FleetMember;
  readonly clock: PausableClock;
  readonly control: SharedAllowances;
  readonly startedAtMs: number;
  /** Delays of this daemon's view, by VM. */
  readonly viewDelays: readonly number[];
  endedAtMs: number;
  /** Whether the others were told that the process ends. */
  hasLeft: boolean;
}

/** A fleet of allowance controls. */
export class SimulatedAllowances {
  readonly clock = new ManualClock();
  readonly events: AllowanceEvent[] = [];
  /** Messages sent between different daemons. */
  messageCount = 0;
  readonly #plan: SimulatedAllowancesPlan;
  readonly #random: RandomSource;
  readonly #nodes: Node[] = [];
  readonly #limits = new Map<string, AccountLimits>();
  readonly #limitsByVm = new Map<number, Map<string, AccountLimits>>();
  #isolatedDomain = -1;
  #isolatedSinceMs = 0;

  constructor(plan: SimulatedAllowancesPlan) {
    this.#plan = plan;
    this.#random = new RandomSource(plan.seed);
    for (let vm = 0; vm < plan.daemons; vm += 1) {
      this.#nodes.push(this.#createNode(vm));
    }
  }

  /** Time since the creation of the fleet, in milliseconds. */
  get nowMs(): number {
    return this.clock.nowMs() - START_MS;
  }

  /** Sets the limits of an account; each daemon follows within `withinMs`. */
  setLimits(account: string, limits: AccountLimits, withinMs = 0): void {
    for (let vm = 0; vm < this.#plan.daemons; vm += 1) {
      this.clock.schedule(this.#random.nextFloat() * withinMs, () => {
        const known = this.#limitsByVm.get(vm) ?? new Map();
        this.#limitsByVm.set(vm, known.set(account, limits));
      });
    }
    this.#limits.set(account, limits);
    if (withinMs === 0) {
      this.clock.advance(0);
    }
  }

  /** Makes a request at a VM; does nothing if no daemon runs there. */
  request(vm: number, account: string): void {
    const node = this.#find(vm);
    const limits = this.#limitsByVm.get(vm)?.get(account);
    if (node && limits) {
      node.clock.run(() => void this.#request(node, account, limits));
    }
  }

  /** Ends a daemon without notice. */
  kill(vm: number): void {
    const node = this.#find(vm);
    if (node) {
      node.endedAtMs = this.nowMs;
      node.control.stop();
    }
  }

  /** Stops a daemon that tells the others that it leaves. */
  leave(vm: number): void {
    const node = this.#find(vm);
    if (node) {
      node.hasLeft = true;
      this.kill(vm);
    }
  }

  /** Starts a daemon on a VM where none runs. */
  start(vm: number): void {
    if (!this.#find(vm)) {
      this.#nodes.push(this.#createNode(vm));
    }
  }

  /** Pauses the process of a daemon. */
  pause(vm: number): void {
    this.#find(vm)?.clock.pause();
  }

  /** Resumes the process of a daemon. */
  resume(vm: number): void {
    this.#find(vm)?.clock.resume();
  }

  /** Cuts a failure domain off from the others; -1 connects all again. */
  isolate(domain: number): void {
    this.#isolatedDomain = domain;
    this.#isolatedSinceMs = this.nowMs;
  }

  /** Advances the time in steps, with `onStep` before each. */
  async run(durationMs: number, onStep: () => void): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      onStep();
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Failure domain of a VM. */
  domainOf(vm: number): number {
    return vm % this.#plan.domains;
  }

  async #request(
    node: Node,
    account: string,
    limits: AccountLimits,
  ): Promise<void> {
    const { signal } = new CallController();
    const result = await node.control.acquire({ name: account, ...limits }, {
      requestId: `request-${this.events.length}`,
      deadlineAtMs: node.clock.monotonicMs() + 2_000,
      signal,
    });
    if (node.endedAtMs < Number.POSITIVE_INFINITY) {
      return;
    }
    this.events.push({
      ...{ atMs: this.nowMs, account, vm: node.vm },
      isGranted: result.isOk(),
      retryAfterMs: result.isErr() ? result.error.retryAfterMs : 0,
    });
    if (result.isOk()) {
      this.onGranted?.(result.value, account);
    }
  }

  /** Called with each permit. */
  onGranted: ((permit: AllowancePermit, account: string) => void) | undefined;

  #find(vm: number): Node | undefined {
    return this.#nodes.find((node) =>
      node.vm === vm && node.endedAtMs === Number.POSITIVE_INFINITY
    );
  }

  #createNode(vm: number): Node {
    const { daemons, defect, viewDelayMs = VIEW_DELAY_MS } = this.#plan;
    const clock = new PausableClock(this.clock);
    const startedAtMs = this.nowMs;
    const incarnation = `vm-${vm}/${this.#plan.seed}/${startedAtMs}`;
    const member = { incarnation, address: `vm-${vm}`, peerPort: 1 };
    const node = {
      ...{ vm, member, clock, startedAtMs },
      viewDelays: Array.from(
        { length: daemons },
        () => this.#random.nextFloat() * viewDelayMs,
      ),
      endedAtMs: Number.POSITIVE_INFINITY,
      hasLeft: false,
    };
    const limitsByVm = this.#limitsByVm;
    const control = new SharedAllowances({
      clock,
      random: new RandomSource(this.#plan.seed * 1_000 + vm + 1),
      fleet: new SimulatedView(
        member.incarnation,
        () => this.#listSeen(node).map((other) => other.member),
        () =>
          defect === "uncounted-silent-members"
            ? this.#listSeen(node).length
            : this.#countMembers(node),
      ),
      messenger: new SimulatedMessenger({
        update: (target, message, validUntilMs) =>
          this.#update(node.vm, target, {
            message,
            validMs: validUntilMs - clock.monotonicMs(),
          }),
        invite: (target, invitation) =>
          this.#invite(node.vm, target, invitation),
      }),
      readLimits: (name) => limitsByVm.get(vm)?.get(name),
    });
    return Object.assign(node, { control });
  }

  /** Lists the daemons that a daemon considers alive. */
  #listSeen(
    { vm, viewDelays }: Pick<Node, "vm" | "viewDelays">,
  ): readonly Node[] {
    return this.#nodes.filter((other) => {
      const delayMs = other.vm === vm ? 0 : viewDelays[other.vm] ?? 0;
      const deathMs = other.hasLeft
        ? delayMs
        : Math.max(DEATH_DELAY_MS[0], delayMs * DEATH_DELAY_MS[1] / 1_500);
      const isInitial = other.startedAtMs === 0;
      const isCutOff = !this.#isConnected(vm, other.vm) &&
        this.nowMs - this.#isolatedSinceMs > DEATH_DELAY_MS[1] + delayMs;
      return !isCutOff &&
        (isInitial || this.nowMs >= other.startedAtMs + delayMs) &&
        this.nowMs < other.endedAtMs + deathMs;
    });
  }

  /** Counts the VMs whose daemon may still serve, as one daemon sees it. */
  #countMembers({ vm, viewDelays }: Pick<Node, "vm" | "viewDelays">): number {
    const latest = new Map<number, Node>();
    for (const other of this.#nodes) {
      const delayMs = other.vm === vm ? 0 : viewDelays[other.vm] ?? 0;
      const isSeen = other.startedAtMs === 0 ||
        this.nowMs >= other.startedAtMs + delayMs;
      if (isSeen) {
        latest.set(other.vm, other);
      }
    }
    return [...latest.values()].filter((other) =>
      !other.hasLeft ||
      this.nowMs < other.endedAtMs + (viewDelays[other.vm] ?? 0)
    ).length;
  }

  #isConnected(one: number, other: number): boolean {
    const isIsolated = (vm: number) =>
      this.domainOf(vm) === this.#isolatedDomain;
    return isIsolated(one) === isIsolated(other);
  }

  /** Calls `arrive` after the transit of a message with the delay that its receiver cannot measure, unless the message gets lost. */
  #transfer(
    from: number,
    target: Node,
    arrive: (transit: { baseMs: number; sentAtMs: number }) => void,
  ): void {
    const { lossRatio = 0, extraDelayMs = 0 } = this.#plan;
    this.messageCount += Number(from !== target.vm);
    if (this.#random.nextFloat() < lossRatio) {
      return;
    }
    const baseMs = this.#baseDelayMs(from, target.vm);
    const delayMs = baseMs + this.#random.nextFloat() * extraDelayMs;
    const sentAtMs = this.nowMs;
    this.clock.schedule(delayMs, () => {
      if (this.#isConnected(from, target.vm)) {
        target.clock.run(() => {
          if (target.endedAtMs === Number.POSITIVE_INFINITY) {
            arrive({ baseMs, sentAtMs });
          }
        });
      }
    });
  }

  #baseDelayMs(from: number, to: number): number {
    const domains = [this.domainOf(from), this.domainOf(to)];
    const half = this.#plan.domains / 2;
    const [one = 0, other = 0] = domains;
    const isRemote = (one < half) !== (other < half);
    return isRemote ? 30 : one === other ? 0.3 : 1.4;
  }

  #update(
    from: number,
    { incarnation }: FleetMember,
    { message, validMs }: { message: AllowanceMessage; validMs: number },
  ): Promise<AllowanceReply | undefined> {
    const target = this.#nodes.find(({ member }) =>
      member.incarnation === incarnation
    );
    const sender = this.#find(from);
    return new Promise((resolve) => {
      sender?.clock.schedule(REPLY_TIMEOUT_MS, () => resolve(undefined));
      if (!target || !sender) {
        return;
      }
      this.#transfer(from, target, ({ baseMs, sentAtMs }) => {
        const transitMs = this.nowMs - sentAtMs - baseMs;
        const remainingMs = this.#plan.defect === "endless-delegation"
          ? 60_000
          : validMs - transitMs;
        void target.control.receive(message, remainingMs).then((reply) =>
          this.#transfer(target.vm, sender, () => resolve(reply))
        );
      });
    });
  }

  #invite(
    from: number,
    { incarnation }: FleetMember,
    invitation: AllowanceInvitation,
  ): void {
    const target = this.#nodes.find(({ member }) =>
      member.incarnation === incarnation
    );
    if (target) {
      this.#transfer(
        from,
        target,
        () => target.control.receiveInvitation(invitation),
      );
    }
  }
}

const START_MS = new ManualClock().nowMs();

/** A daemon's view of the fleet. */
class SimulatedView extends AllowanceFleet {
  readonly #self: string;
  readonly #list: () => readonly FleetMember[];
  readonly #count: () => number;
  #candidates: readonly FleetMember[] = [];
  #memberCount = 0;

  constructor(
    self: string,
    list: () => readonly FleetMember[],
    count: () => number,
  ) {
    super();
    this.#self = self;
    this.#list = list;
    this.#count = count;
  }

  override get self(): string {
    return this.#self;
  }

  override get memberCount(): number {
    return this.#memberCount;
  }

  override listCandidates(): readonly FleetMember[] {
    return this.#candidates;
  }

  override listMembers(): readonly FleetMember[] {
    return this.#candidates.filter(({ incarnation }) =>
      incarnation !== this.#self
    );
  }

  override refresh(): void {
    this.#memberCount = this.#count();
    const seen = this.#list();
    const isSame = seen.length === this.#candidates.length &&
      seen.every((member, index) => member === this.#candidates[index]);
    if (!isSame) {
      this.#candidates = seen;
    }
  }

  override onChange(): void {
    // The view is complete after each refresh.
  }
}

interface Links {
  readonly update: (
    target: FleetMember,
    message: AllowanceMessage,
    validUntilMs: number,
  ) => Promise<AllowanceReply | undefined>;
  readonly invite: (
    target: FleetMember,
    invitation: AllowanceInvitation,
  ) => void;
}

class SimulatedMessenger extends AllowanceMessenger {
  readonly #links: Links;

  constructor(links: Links) {
    super();
    this.#links = links;
  }

  override update(
    member: FleetMember,
    message: AllowanceMessage,
    { validUntilMs }: { readonly validUntilMs: number },
  ): Promise<AllowanceReply | undefined> {
    return this.#links.update(member, message, validUntilMs);
  }

  override invite(
    member: FleetMember,
    invitation: AllowanceInvitation,
  ): void {
    this.#links.invite(member, invitation);
  }
}
