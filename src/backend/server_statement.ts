/**
 * What a backend server says of itself in the header fields of its responses.
 */

/** Load that a backend server states. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its VM at this moment, relative to the usual duration; undefined if it does not state this. */
  readonly slownessRatio: number | undefined;
}

/** Statement of a backend server; it holds until the next response. */
export interface ServerStatement {
  /** Requests a second that it takes from all daemons together; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Text that was given as the limit but is none; it neither sets nor lifts a limit. */
  readonly invalidLimit?: string | undefined;
  /** Whether it leaves, for good. */
  readonly isLeaving: boolean;
  /** Its load; absent if it states none, or an unreadable one. */
  readonly load?: StatedLoad | undefined;
}

/** Statement of a response without any of these header fields. */
export const NO_STATEMENT: ServerStatement = {
  requestsPerSecond: undefined,
  isLeaving: false,
};
