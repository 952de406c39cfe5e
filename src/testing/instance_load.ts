/**
 * Load on the instances of one service, without a network: real load balancers
 * at the entries and real admission at the instances, on a manual clock. Work
 * passes at the speed of its instance.
 */

import { AdaptiveAdmission } from "../admission/mod.ts";
import type { Permit } from "../admission/mod.ts";
import type { MemberRecord } from "../generated/types.ts";
import { REASONS, UNREACHED_REASONS } from "../outcome/mod.ts";
import { HandBacks } from "../request/hand_backs.ts";
import {
  AdaptiveLoadBalancer,
  LinkBudget,
  SpillReceipts,
} from "../routing/mod.ts";
import type { AttemptReport, SpillChange } from "../routing/mod.ts";
import { DaemonMetrics, DecisionJournal } from "../telemetry/mod.ts";
import { RandomSource } from "../time/mod.ts";
import { createMemberRecord } from "./create_member_record.ts";
import { ManualClock } from "./manual_clock.ts";

const TICK_MS = 1;
const DEADLINE_MS = 1_000;
const MAX_ATTEMPTS = 2;
const MAX_REDIRECTS = 8;
const BODY_BYTES = 1_000;
const LINK_BYTES_PER_SECOND = 1_000_000;
const WORK_STAGES = 4;
const MS_PER_SECOND = 1_000;

/** A VM: an instance of the service, and a daemon that is an entry. */
export interface LoadVm {
  readonly domain: string;
  readonly region?: string;
  /** Slots of the instance; 0 if the VM has none. */
  readonly slots: number;
  /** Work done in a millisecond, in milliseconds; 1 is the usual speed. */
  readonly speed: number;
}

/** Parameters of a load. */
export interface InstanceLoadPlan {
  readonly vms: readonly LoadVm[];
  readonly seed: number;
  readonly durationMs: number;
  readonly meanWorkMs: number;
  readonly targetLatencyMs: number;
  /** Requests a second that enter at a VM. */
  readonly computeRate: (vm: number, atMs: number) => number;
  /** Momentary slowness of a VM; 1 by default. */
  readonly computeSlowness?: (vm: number, atMs: number) => number;
  /** Whether instances state their slowness. */
  readonly isSlownessStated: boolean;
  /** One-way delay between two VMs, in milliseconds. */
  readonly computeDelayMs: (from: LoadVm, to: LoadVm) => number;
  /** Whether calls leave the failure domain by shares; if absent, the load balancers do not even have the control. */
  readonly isSpillControlled?: boolean;
  /** Called with each change of a share at a VM, and its time. */
  readonly reportSpill?: (
    vm: number,
    change: SpillChange,
    atMs: number,
  ) => void;
  /** Whether a VM cannot be reached. */
  readonly isDown?: (vm: number, atMs: number) => boolean;
}

/** A request and what became of it. */
export interface LoadOutcome {
  readonly entry: number;
  readonly atMs: number;
  readonly latencyMs: number;
  readonly isServed: boolean;
  /** VM that ran it; -1 if none did. */
  readonly runner: number;
  readonly handBacks: number;
  readonly attempts: number;
}

interface Vm extends LoadVm {
  readonly index: number;
  readonly record: MemberRecord;
  readonly admission: AdaptiveAdmission;
  readonly loadBalancer: AdaptiveLoadBalancer;
  readonly spillReceipts: SpillReceipts;
  readonly running: Set<{ leftMs: number; readonly finish: () => void }>;
}

/** A load; `run` returns the outcomes of all requests. */
export class InstanceLoad {
  readonly clock = new ManualClock();
  readonly #plan: InstanceLoadPlan;
  readonly #random: RandomSource;
  readonly #vms: readonly Vm[];
  readonly #records: readonly MemberRecord[];
  readonly #outcomes: LoadOutcome[] = [];
  readonly #startMs = this.clock.monotonicMs();

  constructor(plan: InstanceLoadPlan) {
    this.#plan = plan;
    this.#random = new RandomSource(plan.seed);
    this.#vms = plan.vms.map((vm, index) => this.#createVm(vm, index));
    this.#records = this.#vms.filter(({ slots }) => slots > 0)
      .map(({ record }) => record);
  }

  /** Runs the load to its end, and until the last request is done. */
  async run(): Promise<readonly LoadOutcome[]> {
    const { durationMs, computeRate } = this.#plan;
    for (let atMs = 0; atMs < durationMs + DEADLINE_MS; atMs += TICK_MS) {
      for (const vm of atMs < durationMs ? this.#vms : []) {
        const mean = computeRate(vm.index, atMs) * TICK_MS / MS_PER_SECOND;
        if (this.#random.nextFloat() < mean) {
          void this.#request(vm);
        }
      }
      this.#vms.forEach((vm) => this.#work(vm, atMs));
      this.clock.advance(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#outcomes;
  }

  get #atMs(): number {
    return this.clock.monotonicMs() - this.#startMs;
  }

  #createVm(vm: LoadVm, index: number): Vm {
    const { clock } = this;
    const { seed, isSpillControlled, reportSpill } = this.#plan;
    const { domain: failureDomain, region = "vlaanderen", slots } = vm;
    const record = createMemberRecord(`vm-${index}`, {
      ...{ failureDomain, region, slots },
      peerPort: 7_102 + index,
    });
    const linkBudget = new LinkBudget(clock);
    linkBudget.setRate(LINK_BYTES_PER_SECOND);
    const admission = new AdaptiveAdmission({
      clock,
      journal: new DecisionJournal(clock),
      metrics: new DaemonMetrics(),
      instance: index,
      listReservedRatios: () => [0],
    });
    admission.setCapacity(slots);
    const loadBalancer = new AdaptiveLoadBalancer({
      clock,
      random: new RandomSource(seed * 1_000 + index + 1),
      locality: record,
      linkBudget,
      reportOutlier: () => undefined,
      ...isSpillControlled !== undefined && {
        spillOver: {
          isEnabled: () => isSpillControlled,
          reportChange: (change) => reportSpill?.(index, change, this.#atMs),
        },
      },
    });
    return {
      ...vm,
      ...{ index, record, admission, loadBalancer },
      spillReceipts: new SpillReceipts(clock),
      running: new Set(),
    };
  }

  #work(vm: Vm, atMs: number): void {
    const slowness = this.#plan.computeSlowness?.(vm.index, atMs) ?? 1;
    for (const call of vm.running) {
      call.leftMs -= TICK_MS * vm.speed / slowness;
      if (call.leftMs <= 0) {
        vm.running.delete(call);
        call.finish();
      }
    }
  }

  /** The way of a call through `dispatchCall`. */
  async #request(entry: Vm): Promise<void> {
    const startedAtMs = this.#atMs;
    const deadlineAtMs = this.clock.monotonicMs() + DEADLINE_MS;
    const excluded = new Set<string>();
    const handBacks = new HandBacks();
    const records = this.#records;
    const counts = { attempts: 0, redirects: 0, handBacks: 0 };
    let runner = -1;
    while (
      counts.attempts < MAX_ATTEMPTS && counts.redirects < MAX_REDIRECTS &&
      this.clock.monotonicMs() < deadlineAtMs
    ) {
      const options = {
        ...{ service: "stock", excluded, isBulk: false, isRepeatable: true },
        classRank: 0,
        targetLatencyMs: this.#plan.targetLatencyMs,
      };
      let picked = entry.loadBalancer.pick(records, options);
      if (picked.isErr() && handBacks.releaseInto(excluded)) {
        picked = entry.loadBalancer.pick(records, options);
      }
      const { elsewhereMs, isSpill } = entry.loadBalancer;
      const vm = this.#vms.find(({ record }) =>
        picked.isOk() && record === picked.value
      );
      if (!vm) {
        break;
      }
      excluded.add(vm.record.incarnation);
      const report = await this.#attempt(entry, vm, {
        deadlineAtMs,
        elsewhereMs: handBacks.isAllowed ? elsewhereMs : undefined,
        isSpill,
      });
      if (report.outcome === "answered") {
        runner = vm.index;
        break;
      }
      if (report.reason === REASONS.slowInstance) {
        handBacks.record(vm.record.incarnation);
        counts.handBacks += 1;
      }
      const isRedirect = UNREACHED_REASONS.has(report.reason);
      counts[isRedirect ? "redirects" : "attempts"] += 1;
    }
    const latencyMs = this.#atMs - startedAtMs;
    this.#outcomes.push({
      entry: entry.index,
      atMs: startedAtMs,
      latencyMs,
      isServed: runner >= 0 && latencyMs <= DEADLINE_MS,
      runner,
      handBacks: counts.handBacks,
      attempts: counts.attempts + Number(runner >= 0),
    });
  }

  async #attempt(
    entry: Vm,
    vm: Vm,
    { deadlineAtMs, elsewhereMs, isSpill }: {
      readonly deadlineAtMs: number;
      readonly elsewhereMs: number | undefined;
      readonly isSpill: boolean;
    },
  ): Promise<AttemptReport> {
    const startedAtMs = this.clock.monotonicMs();
    entry.loadBalancer.startAttempt(vm.record, { isBulk: false });
    const delayMs = entry === vm ? 0 : this.#plan.computeDelayMs(entry, vm);
    await this.#sleep(delayMs);
    if (isSpill) {
      vm.spillReceipts.record(entry.domain);
    }
    const answer = this.#plan.isDown?.(vm.index, this.#atMs)
      ? { outcome: "refused", reason: REASONS.connectFailed } as const
      : await this.#runAt(vm, { deadlineAtMs, elsewhereMs });
    const isConnected = answer.reason !== REASONS.connectFailed;
    const { averageLoad, slowness } = vm.admission;
    const spillReceipts = vm.spillReceipts.list();
    const loads = isConnected ? [vm.admission.describeLoad("stock")] : [];
    await this.#sleep(delayMs);
    const report: AttemptReport = {
      ...answer,
      durationMs: this.clock.monotonicMs() - startedAtMs,
      isErrorAnswer: false,
      loads,
      ...answer.outcome === "answered" &&
        { averageLoad, slowness, spillReceipts },
      bodyBytes: BODY_BYTES,
      isBulk: false,
    };
    entry.loadBalancer.finishAttempt(vm.record, report);
    return report;
  }

  async #runAt(
    vm: Vm,
    { deadlineAtMs, elsewhereMs }: {
      readonly deadlineAtMs: number;
      readonly elsewhereMs: number | undefined;
    },
  ): Promise<Pick<AttemptReport, "outcome" | "reason">> {
    const permit = await vm.admission.acquire({
      context: {
        ...{ requestId: "1", requestName: "read", className: "read" },
        ...{ member: "", tenant: "other", retryAllowance: 1, depth: 0 },
        ...{ isRepeatable: true, isBulk: false },
        remainingMs: deadlineAtMs - this.clock.monotonicMs(),
      },
      service: "stock",
      deadlineAtMs,
      elsewhereMs,
      classRank: 0,
      signal: new AbortController().signal,
    });
    if (permit.isErr()) {
      return { outcome: "refused", reason: permit.error.reason };
    }
    await this.#runWork(vm, permit.value);
    return { outcome: "answered", reason: "" };
  }

  #runWork(vm: Vm, permit: Permit): Promise<void> {
    const { computeSlowness, isSlownessStated } = this.#plan;
    const startedAtMs = this.clock.monotonicMs();
    return new Promise((resolve) => {
      const finish = () => {
        if (isSlownessStated) {
          const slowness = computeSlowness?.(vm.index, this.#atMs) ?? 1;
          vm.admission.observeSlowness(slowness);
        }
        const durationMs = this.clock.monotonicMs() - startedAtMs;
        permit.release({
          ...{ durationMs, ownDurationMs: durationMs },
          ...{ isAnswered: true, isShed: false },
        });
        resolve();
      };
      vm.running.add({ leftMs: this.#drawWorkMs(), finish });
    });
  }

  /** Erlang distribution: half as variable as an exponential one. */
  #drawWorkMs(): number {
    let workMs = 0;
    for (let stage = 0; stage < WORK_STAGES; stage += 1) {
      workMs -= Math.log(1 - this.#random.nextFloat());
    }
    return workMs * this.#plan.meanWorkMs / WORK_STAGES;
  }

  #sleep(durationMs: number): Promise<void> {
    return durationMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.clock.schedule(durationMs, resolve));
  }
}
