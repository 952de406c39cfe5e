/**
 * Metrics of the daemon's process: memory, descriptors, delay of its event loop
 * and faults that it contained. They are read when the metrics are fetched.
 */

import { readdirSync } from "node:fs";
import process from "node:process";
import { Counter, Gauge } from "prom-client";
import type { Registry } from "prom-client";

const DESCRIPTORS_FOLDER = "/proc/self/fd";

const MS_PER_SECOND = 1_000;

/** Gauges and counters of the process. */
export class ProcessMetrics {
  /** Faults that did not end the process, by kind: `request`, `listener`, `rejection` or `socket`. */
  readonly faults: Counter<"kind">;
  /** Settings reloads and stops requested by signals, by signal. */
  readonly signals: Counter<"signal">;
  /** Warnings that the memory is near its limit. */
  readonly memoryWarnings: Counter;
  /** Long delays of the event loop, by cause: `busy`, or `not-run` if the process used little processor time meanwhile. */
  readonly loopDelays: Counter<"cause">;
  /** Sum of these delays. */
  readonly loopDelaySeconds: Counter<"cause">;
  /** Requests whose callers left before the response was sent, by what the daemon was doing. */
  readonly abandonedRequests: Counter<"stage">;
  /** Requests that waited because the event loop was late, by what became of them: `begun`, `dropped` as nobody waited any more, or `refused`. */
  readonly lateRequests: Counter<"action">;
  readonly #registry: Registry;
  readonly #memoryLimit: Gauge;
  #takeMaxDelayMs: () => number = () => 0;
  #readUtilization: () => number = () => 0;
  #peakResidentBytes = 0;

  constructor(registry: Registry) {
    this.#registry = registry;
    const registers = [registry];
    this.faults = new Counter({
      name: "celeryhollow_contained_faults_total",
      help: "Faults that did not end the process",
      labelNames: ["kind"] as const,
      registers,
    });
    this.signals = new Counter({
      name: "celeryhollow_signals_total",
      help: "Signals received",
      labelNames: ["signal"] as const,
      registers,
    });
    this.memoryWarnings = new Counter({
      name: "celeryhollow_memory_warnings_total",
      help: "Warnings that the memory is near its limit",
      registers,
    });
    this.loopDelays = new Counter({
      name: "celeryhollow_event_loop_delays_total",
      help: "Delays of the event loop of 0.2 s and more",
      labelNames: ["cause"] as const,
      registers,
    });
    this.loopDelaySeconds = new Counter({
      name: "celeryhollow_event_loop_delay_seconds_total",
      help: "Sum of the delays of the event loop of 0.2 s and more",
      labelNames: ["cause"] as const,
      registers,
    });
    this.abandonedRequests = new Counter({
      name: "celeryhollow_abandoned_requests_total",
      help: "Requests whose callers left before the response was sent",
      labelNames: ["stage"] as const,
      registers,
    });
    this.lateRequests = new Counter({
      name: "celeryhollow_late_requests_total",
      help: "Requests that waited because the event loop was late",
      labelNames: ["action"] as const,
      registers,
    });
    this.#memoryLimit = new Gauge({
      name: "celeryhollow_memory_limit_bytes",
      help: "Memory past which the process is killed; absent if not known",
      labelNames: [] as const,
      registers,
    });
    this.#memoryLimit.remove();
    const readPeak = () => this.#peakResidentBytes;
    new Gauge({
      name: "celeryhollow_memory_peak_bytes",
      help: "Largest resident memory that was sampled",
      registers,
      collect() {
        this.set(readPeak());
      },
    });
    const takeMaxDelayS = () => this.#takeMaxDelayMs() / MS_PER_SECOND;
    new Gauge({
      name: "celeryhollow_event_loop_delay_seconds",
      help: "Longest delay of a timer since the last fetch",
      registers,
      collect() {
        this.set(takeMaxDelayS());
      },
    });
    const readUtilization = () => this.#readUtilization();
    new Gauge({
      name: "celeryhollow_event_loop_utilization",
      help:
        "Share of the last 0.2 s or so in which the event loop was not idle, 0 to 1",
      registers,
      collect() {
        this.set(readUtilization());
      },
    });
    new Gauge({
      name: "celeryhollow_memory_bytes",
      help: "Memory of the process, by part",
      labelNames: ["part"] as const,
      registers,
      collect() {
        const { rss, heapUsed, external } = process.memoryUsage();
        this.set({ part: "resident" }, rss);
        this.set({ part: "heap" }, heapUsed);
        this.set({ part: "external" }, external);
      },
    });
    new Gauge({
      name: "celeryhollow_open_descriptors",
      help: "Open descriptors, or -1 if they cannot be counted",
      registers,
      collect() {
        this.set(countDescriptors());
      },
    });
  }

  /** Exports the requests of a stop, by what became of them. */
  observeStop(counts: Readonly<Record<string, number>>): void {
    new Gauge({
      name: "celeryhollow_stop_requests",
      help: "Requests of the stop that is in progress, by outcome",
      labelNames: ["outcome"] as const,
      registers: [this.#registry],
      collect() {
        for (const [outcome, count] of Object.entries(counts)) {
          this.set({ outcome }, count);
        }
      },
    });
  }

  /** Sets the memory limit, in bytes; Infinity if it is not known. */
  setMemoryLimit(limitBytes: number): void {
    if (Number.isFinite(limitBytes)) {
      this.#memoryLimit.set(limitBytes);
    }
  }

  /** Records a sample of the resident memory, in bytes. */
  recordResident(residentBytes: number): void {
    this.#peakResidentBytes = Math.max(this.#peakResidentBytes, residentBytes);
  }

  /** Exports the longest delay of the event loop since the last fetch, in milliseconds, and the share of the time in which it is not idle. */
  observeEventLoop(
    { takeMaxDelayMs, readUtilization }: {
      readonly takeMaxDelayMs: () => number;
      readonly readUtilization: () => number;
    },
  ): void {
    this.#takeMaxDelayMs = takeMaxDelayMs;
    this.#readUtilization = readUtilization;
  }
}

function countDescriptors(): number {
  try {
    return readdirSync(DESCRIPTORS_FOLDER).length;
  } catch {
    return -1; // The system may lack the folder, or no descriptor may be left to open it.
  }
}
