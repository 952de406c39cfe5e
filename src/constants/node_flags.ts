/**
 * Flags that the daemon's Node.js process is started with.
 */

/** Keeps the young generation small; a daemon holds little and lives long. */
export const DAEMON_NODE_FLAGS = ["--max-semi-space-size=2"] as const;
