/**
 * A history that notes the time of each event.
 */

import { History } from "../../testing/fault_injection/history.ts";
import type { HistoryEvent } from "../../testing/fault_injection/history.ts";
import type { TimedEvent } from "./collect_history.ts";

/** Events of callers with their times. */
export class TimedHistory extends History {
  readonly timed: TimedEvent[] = [];

  override add(event: HistoryEvent): void {
    super.add(event);
    this.timed.push({ atMs: Date.now(), event });
  }
}
