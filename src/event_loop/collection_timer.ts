/**
 * Sum of the time that garbage collections take.
 */

import { PerformanceObserver } from "node:perf_hooks";

/** Adds up the durations of garbage collections while it runs. */
export class CollectionTimer {
  /** Duration of all collections so far, in milliseconds. */
  totalMs = 0;
  readonly #observer = new PerformanceObserver((list) =>
    list.getEntries().forEach(({ duration }) => this.totalMs += duration)
  );

  /** Starts to observe collections. */
  start(): void {
    this.#observer.observe({ entryTypes: ["gc"] });
  }

  /** Stops to observe collections. */
  stop(): void {
    this.#observer.disconnect();
  }
}
