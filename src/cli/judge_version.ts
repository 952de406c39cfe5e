/**
 * What a configuration version is at one daemon.
 */

import { DECISIONS } from "../telemetry/mod.ts";
import type { JournalEntry } from "../telemetry/mod.ts";
import type { DaemonStatus } from "./daemon_status.ts";

/** States of a version at a daemon. */
export const VERSION_STATES = {
  active: "active",
  refused: "refused",
  /** Active once; a higher one is now. */
  replaced: "replaced",
  /** Never active here; a higher one is. */
  skipped: "skipped",
  /** Read from the store, but neither active nor refused. */
  read: "read",
  /** The daemon has not heard of it. */
  unknown: "unknown",
} as const;

/** One of {@link VERSION_STATES}. */
export type VersionState = (typeof VERSION_STATES)[keyof typeof VERSION_STATES];

/** A version at one daemon. */
export interface VersionJudgement {
  readonly state: VersionState;
  /** Wall-clock time at which the state began; 0 if it is not known. */
  readonly sinceMs: number;
  /** Reason and entry of a refusal; empty otherwise. */
  readonly reason: string;
  readonly entry: string;
}

/**
 * Tells what a version is at a daemon.
 *
 * @param version - The version
 * @param status - Status of the daemon
 * @param journal - Its journal entries about configurations, oldest first
 * @returns State, time, and reason and entry of a refusal
 *
 * @example
 * const { state } = judgeVersion(22, status, journal);
 */
export function judgeVersion(
  version: number,
  status: DaemonStatus,
  journal: readonly JournalEntry[],
): VersionJudgement {
  const { configurationVersion: active, configuration } = status;
  const entries = journal.filter(({ facts }) => facts.version === version);
  const activation = findLast(entries, DECISIONS.configurationChange);
  const refusal = findLast(entries, DECISIONS.configurationRefused);
  if (active === version) {
    const sinceMs = configuration?.activeSinceMs ?? activation?.atMs ?? 0;
    return create(VERSION_STATES.active, sinceMs);
  }
  if (configuration?.refused?.version === version) {
    const { refusedAtMs, reason, entry } = configuration.refused;
    return create(VERSION_STATES.refused, refusedAtMs, { reason, entry });
  }
  if (activation) {
    const successor = journal.find(({ facts }) =>
      facts.previousVersion === version
    );
    return create(VERSION_STATES.replaced, successor?.atMs ?? 0);
  }
  if (refusal) {
    const { reason = "", entry = refusal.facts.error } = refusal.facts;
    return create(VERSION_STATES.refused, refusal.atMs, {
      reason: String(reason),
      entry: String(entry),
    });
  }
  if (active > version) {
    return create(VERSION_STATES.skipped, 0);
  }
  return create(
    configuration?.storeVersion === version
      ? VERSION_STATES.read
      : VERSION_STATES.unknown,
    0,
  );
}

function create(
  state: VersionState,
  sinceMs: number,
  refusal = { reason: "", entry: "" },
): VersionJudgement {
  return { state, sinceMs, ...refusal };
}

function findLast(
  entries: readonly JournalEntry[],
  kind: string,
): JournalEntry | undefined {
  return entries.filter((entry) => entry.kind === kind).at(-1);
}
