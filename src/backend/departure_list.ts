/**
 * Backend servers of one VM that have left.
 */

/** Maximum number of departures; beyond it, the one that was added first is forgotten. */
const MAX_DEPARTURES = 16;

/** A backend server that has left. */
export interface Departure {
  readonly instanceId: string;
  /** Start of the process, or the latest one that it can have had, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** Whether every process under the id that started earlier has left as well, since the departure did not say which one it is of. */
  readonly includesEarlier?: boolean | undefined;
}

/** Remembers the latest departures. */
export class DepartureList {
  readonly #departures = new Map<string, Departure>();

  /** Adds a departure. */
  add({ instanceId, startedAtMs, includesEarlier }: Departure): void {
    const key = `${instanceId}/${includesEarlier ? "earlier" : startedAtMs}`;
    const known = this.#departures.get(key)?.startedAtMs ?? startedAtMs;
    this.#departures.delete(key);
    this.#departures.set(key, {
      ...{ instanceId, startedAtMs: Math.max(startedAtMs, known) },
      ...includesEarlier && { includesEarlier },
    });
    const [oldest] = this.#departures.keys();
    if (this.#departures.size > MAX_DEPARTURES && oldest !== undefined) {
      this.#departures.delete(oldest);
    }
  }

  /** Whether a process has left. */
  includes(
    { instanceId, startedAtMs }: Pick<Departure, "instanceId" | "startedAtMs">,
  ): boolean {
    const latest = this.#departures.get(`${instanceId}/earlier`);
    return this.#departures.has(`${instanceId}/${startedAtMs}`) ||
      (latest !== undefined && startedAtMs <= latest.startedAtMs);
  }

  /** Whether everything is remembered that a departure says. */
  covers({ instanceId, startedAtMs, includesEarlier }: Departure): boolean {
    const latest = this.#departures.get(`${instanceId}/earlier`);
    return includesEarlier
      ? latest !== undefined && startedAtMs <= latest.startedAtMs
      : this.includes({ instanceId, startedAtMs });
  }

  /** Lists the departures in the order in which they became known. */
  list(): Departure[] {
    return [...this.#departures.values()];
  }
}
