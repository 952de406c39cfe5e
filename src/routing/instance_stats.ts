/**
 * Statistics of one instance as observed by this daemon.
 *
 * Local observations take precedence. The load that an instance reports can
 * only raise the load estimate, and its weight decays with age, so that an
 * instance that wrongly reports to be idle is still judged by its measured
 * latency and by the calls in flight to it.
 */

import type { LoadSignal } from "../generated/types.ts";
import { MomentarySlowness } from "../slowness/mod.ts";

/** Weight in the moving average of a latency sample above the average. */
const RISE_WEIGHT = 0.3;

/** Weight in the moving average of a latency sample below the average. */
const FALL_WEIGHT = 0.1;

/** Weight of an attempt in the moving average of the overload ratio. */
const OVERLOAD_WEIGHT = 0.2;

/** Time constants of the exponential decay, in milliseconds: the age at which the weight of an observation is about a third (1/e). */
const LATENCY_DECAY_MS = 3_000;
const OVERLOAD_DECAY_MS = 2_000;
const LOAD_DECAY_MS = 1_000;

/** Latency, overload and load of one instance. */
export class InstanceStats {
  readonly slowness = new MomentarySlowness();
  #inFlight = 0;
  #latencyMs: number | undefined;
  #latencyUpdatedAtMs = 0;
  #overloadRatio = 0;
  #overloadUpdatedAtMs = 0;
  #reportedLoad: LoadSignal | undefined;
  #reportedAtMs = 0;

  /** Number of calls in flight from this daemon to the instance. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Records the start of a call. */
  startCall(): void {
    this.#inFlight += 1;
  }

  /** Records the end of a call. */
  finishCall(): void {
    this.#inFlight -= 1;
  }

  /**
   * Adds the latency of an answer, or the time after which a call was given up,
   * to the moving average, starting from its current decayed value.
   */
  recordLatency(
    durationMs: number,
    { serviceLatencyMs, nowMs }: { serviceLatencyMs: number; nowMs: number },
  ): void {
    const average = this.#latencyMs === undefined
      ? durationMs
      : this.getLatencyMs(serviceLatencyMs, nowMs);
    const weight = durationMs > average ? RISE_WEIGHT : FALL_WEIGHT;
    this.#latencyMs = average + weight * (durationMs - average);
    this.#latencyUpdatedAtMs = nowMs;
  }

  /** Records whether an attempt was refused because the instance is overloaded. */
  recordOverload(isOverloaded: boolean, nowMs: number): void {
    const ratio = this.getOverloadRatio(nowMs);
    const target = isOverloaded ? 1 : 0;
    this.#overloadRatio = ratio + OVERLOAD_WEIGHT * (target - ratio);
    this.#overloadUpdatedAtMs = nowMs;
  }

  /** Records the load that the instance reported with a reply. */
  recordLoad(load: LoadSignal, nowMs: number): void {
    this.#reportedLoad = load;
    this.#reportedAtMs = nowMs;
  }

  /** Average latency in milliseconds; without new samples it decays towards the service latency. */
  getLatencyMs(serviceLatencyMs: number, nowMs: number): number {
    if (this.#latencyMs === undefined) {
      return serviceLatencyMs;
    }
    const weight = Math.exp(
      -(nowMs - this.#latencyUpdatedAtMs) / LATENCY_DECAY_MS,
    );
    return serviceLatencyMs + weight * (this.#latencyMs - serviceLatencyMs);
  }

  /** Whether there are any latency samples. */
  get hasLatency(): boolean {
    return this.#latencyMs !== undefined;
  }

  /** Share of recent attempts that were refused because of overload, 0 to 1. */
  getOverloadRatio(nowMs: number): number {
    const ageMs = nowMs - this.#overloadUpdatedAtMs;
    return this.#overloadRatio * Math.exp(-ageMs / OVERLOAD_DECAY_MS);
  }

  /** Estimated number of concurrent calls at the instance: the calls in flight from this daemon, or the reported load if higher. */
  getLoad(nowMs: number): number {
    if (!this.#reportedLoad) {
      return this.#inFlight;
    }
    const weight = Math.exp(-(nowMs - this.#reportedAtMs) / LOAD_DECAY_MS);
    const reportedCalls =
      (this.#reportedLoad.inFlight + this.#reportedLoad.queued) * weight;
    return Math.max(this.#inFlight, reportedCalls);
  }

  /** Concurrency limit that the instance last reported, or its announced slots. */
  getLimit(slots: number): number {
    return Math.max(1, this.#reportedLoad?.limit ?? slots);
  }
}
