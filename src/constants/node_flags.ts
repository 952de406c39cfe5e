/**
 * Node.js flags for the daemon's process.
 */

/** Limits the young generation of the heap, since a daemon keeps little data and runs for a long time. */
export const DAEMON_NODE_FLAGS = ["--max-semi-space-size=2"] as const;
