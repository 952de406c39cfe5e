/**
 * History of the events at callers, daemons and backend servers, in one total order.
 */

/** A caller sends an attempt of a request. */
export interface InvokeEvent {
  readonly kind: "invoke";
  readonly requestId: string;
  readonly key: string;
  readonly attempt: number;
}

/** A caller receives the outcome of an attempt; `lost` if no response arrived. */
export interface OutcomeEvent {
  readonly kind: "outcome";
  readonly requestId: string;
  readonly key: string;
  readonly attempt: number;
  readonly outcome: "answered" | "refused" | "unknown" | "lost";
  readonly reason: string;
  readonly body: string;
}

/** A backend server starts running a request. */
export interface RunEvent {
  readonly kind: "run";
  readonly requestId: string;
  readonly service: string;
  readonly key: string;
  readonly body: string;
}

/** A daemon receives a call to run. */
export interface AttemptEvent {
  readonly kind: "attempt";
  readonly requestId: string;
}

/** One event of a history. */
export type HistoryEvent = InvokeEvent | OutcomeEvent | RunEvent | AttemptEvent;

/** Events in the order in which they happened. */
export class History {
  readonly events: HistoryEvent[] = [];

  /** Adds an event. */
  add(event: HistoryEvent): void {
    this.events.push(event);
  }
}
