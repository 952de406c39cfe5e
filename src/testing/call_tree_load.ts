/**
 * Load of request trees on services with real admission control, without a
 * network: requests of several kinds and client accounts enter at several
 * daemons, and each makes its nested calls one after the other.
 */

import type {
  CallCompletion,
  EntryAdmission,
  InboundAdmission,
} from "../admission/mod.ts";
import type { CompiledRequest } from "../configuration/mod.ts";
import type { AdmissionMark, LoadSignal } from "../generated/types.ts";
import { RandomSource } from "../time/mod.ts";
import type { ManualClock } from "./manual_clock.ts";
import type { ModelProcessor, ProcessorCosts } from "./model_processor.ts";

/** A call with the nested calls that it makes in sequence. */
export interface TreeCall {
  readonly service: string;
  /** Mean time of its own work, in milliseconds. */
  readonly workMs: number;
  readonly timeLimitMs: number;
  readonly calls?: readonly TreeCall[];
}

/** Requests of one kind from one client account. */
export interface TreeSource {
  /** Name of the account; empty without accounts. */
  readonly member: string;
  readonly request: CompiledRequest;
  readonly root: TreeCall;
  readonly targetLatencyMs: number;
  /** Requests per second in the whole fleet at a time since the start. */
  readonly computeRate: (atMs: number) => number;
}

/** Counts of the requests of one source that arrived in the counted period. */
export interface TreeCount {
  offered: number;
  admitted: number;
  served: number;
  /** Requests that were served within the target latency. */
  servedInTime: number;
  /** Largest suggested retry delay of a refusal at the entry, in milliseconds. */
  maxRetryAfterMs: number;
}

/** Admission control that the load runs against. */
export interface TreeFleet {
  readonly entries: readonly EntryAdmission[];
  readonly gatesByService: ReadonlyMap<string, readonly InboundAdmission[]>;
  /** Speed of the instance behind a gate; 1 if not set. */
  readonly speeds?: ReadonlyMap<InboundAdmission, number>;
  /** Processor of the daemon of a gate; daemons without one need no time. */
  readonly processors?: ReadonlyMap<InboundAdmission, ModelProcessor>;
}

/** Options of {@link CallTreeLoad}. */
export interface CallTreeOptions {
  readonly clock: ManualClock;
  readonly seed: number;
  readonly sources: readonly TreeSource[];
  readonly durationMs: number;
  /** Start of the counted period, in milliseconds since the start. */
  readonly countedFromMs: number;
  /** Returns the fleet at a time since the start; a new one has lost its counts. */
  readonly findFleet: (atMs: number) => TreeFleet;
  /** Processor time that daemons need; none by default. */
  readonly processorCosts?: ProcessorCosts;
  /** Draws the one-way delay between two daemons, in milliseconds; none by default. */
  readonly drawDelayMs?: (random: RandomSource) => number;
}

/** Time between two steps, in milliseconds. */
const STEP_MS = 1;

/** Instances that one call is offered to before it fails. */
const MAX_ATTEMPTS = 3;

/** Time after the last arrival for requests to end, in milliseconds. */
const DRAIN_MS = 6_000;

/** Load signals of nested calls that a reply relays. */
const MAX_RELAYED = 2;

const NO_COSTS: ProcessorCosts = { runMs: 0, nestedCallMs: 0 };

interface RunningTree {
  readonly mark: AdmissionMark | undefined;
  readonly source: TreeSource;
  readonly requestId: string;
}

interface TreeReply {
  readonly isAnswered: boolean;
  readonly loads: readonly LoadSignal[];
}

interface TreeStep {
  readonly tree: RunningTree;
  readonly call: TreeCall;
  readonly depth: number;
  readonly deadlineAtMs: number;
}

/** A load of request trees. */
export class CallTreeLoad {
  readonly #options: CallTreeOptions;
  readonly #random: RandomSource;
  readonly #counts: readonly TreeCount[];
  readonly #startedAtMs: number;
  #arrivals = 0;

  constructor(options: CallTreeOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#startedAtMs = options.clock.monotonicMs();
    this.#counts = options.sources.map(() => ({
      ...{ offered: 0, admitted: 0, served: 0, servedInTime: 0 },
      maxRetryAfterMs: 0,
    }));
  }

  /** Runs the load and returns the counts in the order of the sources. */
  async run(): Promise<readonly TreeCount[]> {
    const { clock, durationMs, sources } = this.#options;
    for (let atMs = 0; atMs < durationMs + DRAIN_MS; atMs += STEP_MS) {
      if (atMs < durationMs) {
        sources.forEach((source, index) => this.#arrive(source, index));
      }
      clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#counts;
  }

  get #elapsedMs(): number {
    return this.#options.clock.monotonicMs() - this.#startedAtMs;
  }

  #arrive(source: TreeSource, index: number): void {
    const mean = source.computeRate(this.#elapsedMs) * STEP_MS / 1_000;
    const limit = Math.exp(-mean);
    for (
      let product = this.#random.nextFloat();
      product > limit;
      product *= this.#random.nextFloat()
    ) {
      void this.#serve(source, index);
    }
  }

  async #serve(source: TreeSource, index: number): Promise<void> {
    const { countedFromMs, clock, findFleet } = this.#options;
    const arrivedAtMs = clock.monotonicMs();
    const isCounted = this.#elapsedMs >= countedFromMs;
    const count = this.#counts[index];
    const entry = this.#random.choose(findFleet(this.#elapsedMs).entries);
    if (!count || !entry) {
      return;
    }
    this.#arrivals += 1;
    const { request, member, root } = source;
    const requestId = `request-${this.#arrivals}`;
    count.offered += Number(isCounted);
    const grant = entry.check({
      request: { ...request, path: listServices(root) },
      ...{ member, requestId },
    });
    if (grant.isErr()) {
      const { retryAfterMs = 0 } = grant.error;
      count.maxRetryAfterMs = Math.max(count.maxRetryAfterMs, retryAfterMs);
      return;
    }
    count.admitted += Number(isCounted);
    const { isAnswered: isServed, loads } = await this.#call({
      tree: { source, requestId, mark: grant.value.mark },
      call: root,
      depth: 0,
      deadlineAtMs: arrivedAtMs + root.timeLimitMs,
    });
    entry.observe(loads);
    entry.recordOutcome(request, { member, isServed });
    if (isCounted && isServed) {
      const durationMs = clock.monotonicMs() - arrivedAtMs;
      count.served += 1;
      count.servedInTime += Number(durationMs <= source.targetLatencyMs);
    }
  }

  async #call(step: TreeStep): Promise<TreeReply> {
    let loads: readonly LoadSignal[] = [];
    const { clock, findFleet } = this.#options;
    const tried = new Set<InboundAdmission>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const gates = findFleet(this.#elapsedMs).gatesByService.get(
        step.call.service,
      ) ?? [];
      const gate = this.#chooseGate(gates, tried);
      if (!gate || clock.monotonicMs() >= step.deadlineAtMs) {
        return { isAnswered: false, loads };
      }
      tried.add(gate);
      const delayMs = this.#options.drawDelayMs?.(this.#random) ?? 0;
      const { runMs } = this.#options.processorCosts ?? NO_COSTS;
      const fleet = findFleet(this.#elapsedMs);
      const processor = fleet.processors?.get(gate);
      await this.#wait(delayMs);
      await processor?.use(runMs / 2);
      const permit = await gate.acquire(this.#createCall(step));
      if (permit.isOk()) {
        const startedAtMs = clock.monotonicMs();
        const speed = fleet.speeds?.get(gate) ?? 1;
        const work = await this.#work(step, { speed, processor });
        await processor?.use(runMs / 2);
        const { isAnswered, ownDurationMs } = work;
        loads = work.loads;
        const durationMs = clock.monotonicMs() - startedAtMs;
        const completion: CallCompletion = {
          ...{ durationMs, ownDurationMs, isAnswered, isShed: false },
        };
        permit.value.release(completion);
        loads = [gate.describeLoad(step.call.service), ...loads];
        await this.#wait(delayMs);
        return {
          isAnswered: isAnswered && clock.monotonicMs() <= step.deadlineAtMs,
          loads,
        };
      }
      loads = [gate.describeLoad(step.call.service)];
      await this.#wait(delayMs);
    }
    return { isAnswered: false, loads };
  }

  /** Runs the work of a call, and its nested calls until one of them fails. */
  async #work(
    { call, tree, depth, deadlineAtMs }: TreeStep,
    { speed, processor }: {
      readonly speed: number;
      readonly processor: ModelProcessor | undefined;
    },
  ): Promise<TreeReply & { readonly ownDurationMs: number }> {
    const loads: LoadSignal[] = [];
    const { clock, processorCosts = NO_COSTS } = this.#options;
    const ownDurationMs = call.workMs * (0.5 + this.#random.nextFloat()) /
      speed;
    await this.#wait(ownDurationMs);
    for (const nested of call.calls ?? []) {
      const limitAtMs = clock.monotonicMs() + nested.timeLimitMs;
      await processor?.use(processorCosts.nestedCallMs / 2);
      const reply = await this.#call({
        ...{ tree, call: nested, depth: depth + 1 },
        deadlineAtMs: Math.min(deadlineAtMs, limitAtMs),
      });
      await processor?.use(processorCosts.nestedCallMs / 2);
      loads.push(...reply.loads.filter(({ admitLevel }) => admitLevel < 1));
      loads.splice(0, loads.length - MAX_RELAYED);
      if (!reply.isAnswered) {
        return { isAnswered: false, ownDurationMs, loads };
      }
    }
    return { isAnswered: true, ownDurationMs, loads };
  }

  async #wait(durationMs: number): Promise<void> {
    if (durationMs > 0) {
      await new Promise<void>((resolve) =>
        this.#options.clock.schedule(durationMs, () => resolve())
      );
    }
  }

  /** Chooses the less loaded of two random instances that were not tried yet. */
  #chooseGate(
    gates: readonly InboundAdmission[],
    tried: ReadonlySet<InboundAdmission>,
  ): InboundAdmission | undefined {
    const untried = gates.filter((gate) => !tried.has(gate));
    const one = this.#random.choose(untried);
    const other = this.#random.choose(untried);
    return one && other && other.pendingCalls < one.pendingCalls ? other : one;
  }

  #createCall({ tree, call, depth, deadlineAtMs }: TreeStep) {
    const { request, member } = tree.source;
    return {
      context: {
        requestId: depth > 0 ? `${tree.requestId}.${depth}` : tree.requestId,
        requestName: request.name,
        className: request.className,
        member,
        tenant: "other",
        remainingMs: deadlineAtMs - this.#options.clock.monotonicMs(),
        retryAllowance: 0,
        depth,
        isRepeatable: true,
        isBulk: false,
        ...tree.mark && { admission: tree.mark },
      },
      service: call.service,
      deadlineAtMs,
      classRank: request.classRank,
      signal: new AbortController().signal,
    };
  }
}

function listServices({ service, calls = [] }: TreeCall): string[] {
  return [...new Set([service, ...calls.flatMap(listServices)])];
}
