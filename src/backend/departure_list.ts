/**
 * Backend servers of one VM that have left.
 *
 * What is remembered of each id is the latest start that a departed process under
 * this id can have had, since a later process may use the id again.
 */

/** Maximum number of ids; beyond it, the one that was added first is forgotten. */
const MAX_DEPARTURES = 16;

/** A backend server that has left. */
export interface Departure {
  readonly instanceId: string;
  /** Start of the process, or the latest one that it can have had, in milliseconds since the epoch. */
  readonly startedAtMs: number;
}

/** Remembers the latest departures. */
export class DepartureList {
  readonly #startedAtMs = new Map<string, number>();

  /** Adds a departure; returns it with the latest start that is known for its id. */
  add({ instanceId, startedAtMs }: Departure): Departure {
    const latestAtMs = Math.max(
      startedAtMs,
      this.#startedAtMs.get(instanceId) ?? startedAtMs,
    );
    this.#startedAtMs.delete(instanceId);
    this.#startedAtMs.set(instanceId, latestAtMs);
    const [oldest] = this.#startedAtMs.keys();
    if (this.#startedAtMs.size > MAX_DEPARTURES && oldest !== undefined) {
      this.#startedAtMs.delete(oldest);
    }
    return { instanceId, startedAtMs: latestAtMs };
  }

  /** Whether a process has left, or started no later than one that left under its id. */
  includes({ instanceId, startedAtMs }: Departure): boolean {
    return startedAtMs <= (this.#startedAtMs.get(instanceId) ?? -Infinity);
  }

  /** Lists the departures in the order in which they became known. */
  list(): Departure[] {
    return [...this.#startedAtMs].map(([instanceId, startedAtMs]) => ({
      ...{ instanceId, startedAtMs },
    }));
  }
}
