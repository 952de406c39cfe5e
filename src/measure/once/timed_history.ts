/**
 * History of caller events that also records the time of each event.
 */

import { History } from "../../testing/fault_injection/history.ts";
import type { HistoryEvent } from "../../testing/fault_injection/history.ts";
import type { TimedEvent } from "./collect_history.ts";

/** Records events together with their times. */
export class TimedHistory extends History {
  readonly timedEvents: TimedEvent[] = [];

  override add(event: HistoryEvent): void {
    super.add(event);
    this.timedEvents.push({ atMs: Date.now(), event });
  }
}
