/**
 * Delays of the process's event loop.
 */

export { AcceptWatch } from "./accept_watch.ts";
export {
  EventLoopWatch,
  LATE_READ_MS,
  TICK_MS,
  USUAL_UNREAD_MS,
} from "./event_loop_watch.ts";
export type { LoopDelay, LoopWork } from "./event_loop_watch.ts";
export { reportLoopDelay } from "./report_loop_delay.ts";
export { IDLE_PROCESSOR, LoopLoad } from "./loop_load.ts";
export type { ProcessorLoad } from "./loop_load.ts";
