/**
 * Summary of the configuration versions that the daemons of a fleet refuse.
 */

import type { DaemonStatus } from "./daemon_status.ts";

/** A refused version with one reason, at some daemons. */
export interface RefusalSummary {
  readonly version: number;
  readonly reason: string;
  readonly entry: string;
  /** Addresses of the daemons that refuse it. */
  readonly daemons: readonly string[];
  /** Longest time for which one of them has refused it. */
  readonly refusedForMs: number;
}

/**
 * Groups the refused versions of daemons by version, reason and entry.
 *
 * @param statuses - Statuses of the daemons; older builds report no refused version
 * @returns The groups, the highest version first
 *
 * @example
 * const [latest] = summarizeRefusals(statuses);
 */
export function summarizeRefusals(
  statuses: readonly DaemonStatus[],
): RefusalSummary[] {
  const groups = new Map<string, RefusalSummary>();
  for (const { self, configuration } of statuses) {
    const refused = configuration?.refused;
    if (!refused) {
      continue;
    }
    const { version, reason, entry, refusedForMs } = refused;
    const key = JSON.stringify([version, reason, entry]);
    const known = groups.get(key);
    groups.set(key, {
      ...{ version, reason, entry },
      daemons: [...known?.daemons ?? [], self.address].sort(),
      refusedForMs: Math.max(known?.refusedForMs ?? 0, refusedForMs),
    });
  }
  return [...groups.values()].sort((one, other) => other.version - one.version);
}
