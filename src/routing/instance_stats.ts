/**
 * What this daemon has observed of one instance.
 *
 * Own observations come first. The load that an instance reports can only raise
 * the estimate, and counts less the older it is, so that an instance which
 * claims to be idle is judged by its own latency and the calls in flight to it.
 */

import type { LoadSignal } from "../generated/types.ts";

/** Weight of a sample above the average latency. */
const RISE_WEIGHT = 0.3;

/** Weight of a sample below the average latency. */
const FALL_WEIGHT = 0.1;

/** Weight of an attempt in the share of refusals for overload. */
const OVERLOAD_WEIGHT = 0.2;

/** Age at which an observation counts for about a third, in milliseconds. */
const LATENCY_LIFETIME_MS = 3_000;
const OVERLOAD_LIFETIME_MS = 2_000;
const HINT_LIFETIME_MS = 1_000;

/** Observations of one instance. */
export class InstanceStats {
  #inFlight = 0;
  #latencyMs: number | undefined;
  #latencyAtMs = 0;
  #overloadRatio = 0;
  #overloadAtMs = 0;
  #hint: LoadSignal | undefined;
  #hintAtMs = 0;

  /** Own calls in flight to the instance. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** A call begins. */
  begin(): void {
    this.#inFlight += 1;
  }

  /** A call has ended. */
  end(): void {
    this.#inFlight -= 1;
  }

  /** Takes the latency of an answer, or the time after which one was given up, into the average as it has drifted. */
  noteLatency(
    durationMs: number,
    { usualMs, nowMs }: { usualMs: number; nowMs: number },
  ): void {
    const average = this.#latencyMs === undefined
      ? durationMs
      : this.readLatencyMs(usualMs, nowMs);
    const weight = durationMs > average ? RISE_WEIGHT : FALL_WEIGHT;
    this.#latencyMs = average + weight * (durationMs - average);
    this.#latencyAtMs = nowMs;
  }

  /** Takes whether an attempt was refused because the instance is overloaded. */
  noteOverload(isOverloaded: boolean, nowMs: number): void {
    const ratio = this.readOverloadRatio(nowMs);
    const target = isOverloaded ? 1 : 0;
    this.#overloadRatio = ratio + OVERLOAD_WEIGHT * (target - ratio);
    this.#overloadAtMs = nowMs;
  }

  /** Takes the load that the instance reported with a reply. */
  noteHint(hint: LoadSignal, nowMs: number): void {
    this.#hint = hint;
    this.#hintAtMs = nowMs;
  }

  /** Average latency, drifting to that of other instances without new samples. */
  readLatencyMs(usualMs: number, nowMs: number): number {
    if (this.#latencyMs === undefined) {
      return usualMs;
    }
    const weight = Math.exp(
      -(nowMs - this.#latencyAtMs) / LATENCY_LIFETIME_MS,
    );
    return usualMs + weight * (this.#latencyMs - usualMs);
  }

  /** Whether any latency was observed. */
  get hasLatency(): boolean {
    return this.#latencyMs !== undefined;
  }

  /** Share of recent attempts refused for overload. */
  readOverloadRatio(nowMs: number): number {
    const ageMs = nowMs - this.#overloadAtMs;
    return this.#overloadRatio * Math.exp(-ageMs / OVERLOAD_LIFETIME_MS);
  }

  /** Calls that the instance is thought to hold: own ones, or more if it says so. */
  readLoad(nowMs: number): number {
    if (!this.#hint) {
      return this.#inFlight;
    }
    const weight = Math.exp(-(nowMs - this.#hintAtMs) / HINT_LIFETIME_MS);
    const hinted = (this.#hint.inFlight + this.#hint.queued) * weight;
    return Math.max(this.#inFlight, hinted);
  }

  /** Calls that the instance runs at once, as far as is known. */
  readLimit(slots: number): number {
    return Math.max(1, this.#hint?.limit ?? slots);
  }
}
