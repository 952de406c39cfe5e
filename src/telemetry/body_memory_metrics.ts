/**
 * Metrics of the memory that bodies of calls use, to compare with the resident
 * memory of the process.
 */

import { Gauge } from "prom-client";
import type { Registry } from "prom-client";

/** What the metrics read. */
export interface BodyMemory {
  readonly capacityBytes: number;
  readonly heldBytes: number;
  readonly waitingBytes: number;
  readonly failedCount: number;
}

/** Gauges of one memory budget. */
export class BodyMemoryMetrics {
  readonly #registers: Registry[];

  constructor(registry: Registry) {
    this.#registers = [registry];
  }

  /** Exports the state of a budget. */
  observe(memory: BodyMemory): void {
    const registers = this.#registers;
    new Gauge({
      name: "celeryhollow_body_memory_bytes",
      help: "Bytes of bodies held, waiting for room, and allowed at a time",
      labelNames: ["state"] as const,
      registers,
      collect() {
        this.set({ state: "held" }, memory.heldBytes);
        this.set({ state: "waiting" }, memory.waitingBytes);
        this.set({ state: "allowed" }, memory.capacityBytes);
      },
    });
    new Gauge({
      name: "celeryhollow_body_memory_failures",
      help: "Bodies for which no memory was found in time, since the start",
      registers,
      collect() {
        this.set(memory.failedCount);
      },
    });
  }
}
