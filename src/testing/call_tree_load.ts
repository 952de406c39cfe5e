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
import { chooseLessLoaded } from "./choose_less_loaded.ts";
import type { ManualClock } from "./manual_clock.ts";
import type { ModelInstance } from "./model_instance.ts";
import type { ModelProcessor, ProcessorCosts } from "./model_processor.ts";
import { REGION_DELAY_MS } from "./region_routing.ts";
import type { RegionRouting } from "./region_routing.ts";

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
  /** Whether callers may repeat a request that has failed; false by default. */
  readonly isRepeatable?: boolean;
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
  /** Instance behind a gate; calls take the stated time without one. */
  readonly instances?: ReadonlyMap<InboundAdmission, ModelInstance>;
  /** Routing by region; any instance may be chosen without it. */
  readonly routing?: RegionRouting;
  /** Processor of the daemon of a gate; daemons without one need no time. */
  readonly processors?: ReadonlyMap<InboundAdmission, ModelProcessor>;
}

/** How a request ended for its caller, with the retries that the caller made. */
export interface TreeOutcome {
  readonly sourceIndex: number;
  /** Arrival of the first attempt, in milliseconds since the start. */
  readonly arrivedAtMs: number;
  /** Time from the first attempt to the last response, in milliseconds. */
  readonly durationMs: number;
  readonly end: TreeEnd;
}

/** What a caller gets in the end. */
export type TreeEnd = "served" | "refused" | "failed";

/** Retries of callers. */
export interface CallerRetries {
  readonly maxRetries: number;
  /** Time for which callers wait for a request with its retries, in milliseconds. */
  readonly timeLimitMs: number;
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
  /** Retries of callers after a refusal, or after the failure of a repeatable request; none by default. */
  readonly callerRetries?: CallerRetries;
  /** Called when a request and its retries have ended. */
  readonly onOutcome?: (outcome: TreeOutcome) => void;
  /** Instances that one call is offered to; fewer than the default where the budget of retries is used up. */
  readonly maxAttempts?: number;
  /** Draws the time of a call relative to the mean; uniform from 0.5 to 1.5 by default. */
  readonly drawWork?: (random: RandomSource) => number;
}

/** Time between two steps, in milliseconds. */
const STEP_MS = 1;

/** Instances that one call is offered to before it fails, by default. */
const MAX_ATTEMPTS = 3;

/** Time after the last arrival for requests to end, in milliseconds. */
const DRAIN_MS = 6_000;

/** Load signals of nested calls that a reply relays. */
const MAX_RELAYED = 2;

const NO_RETRIES: CallerRetries = { maxRetries: 0, timeLimitMs: 0 };

/** Longest time that a caller waits before a retry, as a share of the time that it has left. */
const MAX_RETRY_WAIT_RATIO = 1 / 3;

const NO_COSTS: ProcessorCosts = { runMs: 0, nestedCallMs: 0 };

interface RunningTree {
  readonly mark: AdmissionMark | undefined;
  readonly source: TreeSource;
  readonly requestId: string;
}

interface AttemptResult {
  readonly end: TreeEnd;
  readonly retryAfterMs: number;
}

interface TreeReply {
  readonly isAnswered: boolean;
  readonly loads: readonly LoadSignal[];
}

interface TreeStep {
  /** Region that the call comes from. */
  readonly region: number;
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

  /** Serves a request and the retries of its caller. */
  async #serve(source: TreeSource, sourceIndex: number): Promise<void> {
    const { callerRetries = NO_RETRIES, onOutcome } = this.#options;
    const arrivedAtMs = this.#elapsedMs;
    const endsAtMs = arrivedAtMs + callerRetries.timeLimitMs;
    for (let retries = 0;; retries += 1) {
      const { end, retryAfterMs } = await this.#attempt(source, sourceIndex);
      const remainingMs = endsAtMs - this.#elapsedMs;
      const mayRetry = end === "refused" ||
        (end === "failed" && source.isRepeatable === true);
      if (
        !mayRetry || retries >= callerRetries.maxRetries || remainingMs <= 0
      ) {
        const durationMs = this.#elapsedMs - arrivedAtMs;
        onOutcome?.({ sourceIndex, arrivedAtMs, durationMs, end });
        return;
      }
      await this.#wait(
        Math.min(retryAfterMs, remainingMs * MAX_RETRY_WAIT_RATIO),
      );
    }
  }

  async #attempt(source: TreeSource, index: number): Promise<AttemptResult> {
    const { countedFromMs, clock, findFleet } = this.#options;
    const arrivedAtMs = clock.monotonicMs();
    const isCounted = this.#elapsedMs >= countedFromMs;
    const count = this.#counts[index];
    const { entries, routing } = findFleet(this.#elapsedMs);
    const region = routing?.drawRegion(this.#random) ?? 0;
    const entry = this.#random.choose(
      routing?.listEntries(entries, region) ?? entries,
    );
    if (!count || !entry) {
      return { end: "refused", retryAfterMs: 0 };
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
      return { end: "refused", retryAfterMs };
    }
    count.admitted += Number(isCounted);
    const { isAnswered: isServed, loads } = await this.#call({
      tree: { source, requestId, mark: grant.value.mark },
      call: root,
      depth: 0,
      region,
      deadlineAtMs: arrivedAtMs + root.timeLimitMs,
    });
    entry.observe(loads);
    entry.recordOutcome(request, { member, isServed });
    if (isCounted && isServed) {
      const durationMs = clock.monotonicMs() - arrivedAtMs;
      count.served += 1;
      count.servedInTime += Number(durationMs <= source.targetLatencyMs);
    }
    return { end: isServed ? "served" : "failed", retryAfterMs: 0 };
  }

  async #call(step: TreeStep): Promise<TreeReply> {
    let loads: readonly LoadSignal[] = [];
    const { clock, findFleet, maxAttempts = MAX_ATTEMPTS } = this.#options;
    const tried = new Set<InboundAdmission>();
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const fleet = findFleet(this.#elapsedMs);
      const gate = this.#chooseGate(fleet, step, tried);
      if (!gate || clock.monotonicMs() >= step.deadlineAtMs) {
        return { isAnswered: false, loads };
      }
      tried.add(gate);
      const delayMs = this.#drawDelayMs(fleet, step.region, gate);
      const { runMs } = this.#options.processorCosts ?? NO_COSTS;
      const processor = fleet.processors?.get(gate);
      await this.#wait(delayMs);
      await processor?.use(runMs / 2);
      const permit = await gate.acquire(this.#createCall(step));
      if (permit.isOk()) {
        const startedAtMs = clock.monotonicMs();
        const instance = fleet.instances?.get(gate);
        const slowdown = instance?.begin() ?? 1;
        const region = fleet.routing?.getRegion(gate) ?? 0;
        const work = await this.#work({ ...step, region }, {
          ...{ slowdown, processor },
        });
        instance?.end();
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
    { call, tree, depth, deadlineAtMs, region }: TreeStep,
    { slowdown, processor }: {
      readonly slowdown: number;
      readonly processor: ModelProcessor | undefined;
    },
  ): Promise<TreeReply & { readonly ownDurationMs: number }> {
    const loads: LoadSignal[] = [];
    const { clock, processorCosts = NO_COSTS } = this.#options;
    const drawWork = this.#options.drawWork ?? drawUniformWork;
    const ownDurationMs = call.workMs * slowdown * drawWork(this.#random);
    await this.#wait(ownDurationMs);
    for (const nested of call.calls ?? []) {
      const limitAtMs = clock.monotonicMs() + nested.timeLimitMs;
      await processor?.use(processorCosts.nestedCallMs / 2);
      const reply = await this.#call({
        ...{ tree, call: nested, depth: depth + 1, region },
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

  /** Chooses an instance that was not tried yet. */
  #chooseGate(
    fleet: TreeFleet,
    { call, region }: TreeStep,
    tried: ReadonlySet<InboundAdmission>,
  ): InboundAdmission | undefined {
    const gates = (fleet.gatesByService.get(call.service) ?? [])
      .filter((gate) => !tried.has(gate));
    return fleet.routing
      ? fleet.routing.chooseGate({ region, gates }, this.#random)
      : chooseLessLoaded(gates, this.#random);
  }

  /** Draws the one-way delay of a call to an instance. */
  #drawDelayMs({ routing }: TreeFleet, region: number, gate: InboundAdmission) {
    return routing && routing.getRegion(gate) !== region
      ? REGION_DELAY_MS
      : this.#options.drawDelayMs?.(this.#random) ?? 0;
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

function drawUniformWork(random: RandomSource): number {
  return 0.5 + random.nextFloat();
}

function listServices({ service, calls = [] }: TreeCall): string[] {
  return [...new Set([service, ...calls.flatMap(listServices)])];
}
