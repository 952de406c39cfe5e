/**
 * Order of the announcements of backend servers at one address.
 *
 * A later start and a higher sequence number supersede, since announcements may
 * arrive late. But anyone may claim a large value, a clock may have been set back
 * between two starts, and a late announcement may be the first one that a started
 * process gets. So what the order rules out still counts once its sender has
 * proved that it is there: it announces itself again, in its time, while the
 * server that superseded it is silent.
 */

import type { Announcement } from "../generated/types.ts";
import type { Clock } from "../time/mod.ts";

/** Shortest time between two announcements that a server sends in their time, in milliseconds; late ones arrive alone or together. */
const MIN_RENEWAL_MS = 500;

/** Maximum number of refuted servers to remember; beyond it, the oldest is forgotten. */
const MAX_REFUTED = 16;

/** What an announcement means for the server in use. */
export const VERDICTS = {
  /** It is from the server in use, or from one that supersedes it. */
  accepted: "accepted",
  /** It does not count unless its sender proves that it is there. */
  held: "held",
  /** It is the proof of a server that the order had ruled out. */
  proven: "proven",
} as const;

/** One of {@link VERDICTS}. */
export type Verdict = (typeof VERDICTS)[keyof typeof VERDICTS];

/** State against which an announcement is judged. */
export interface OrderState {
  /** Latest announcement of the server in use. */
  readonly current: Announcement | undefined;
  /** Whether the first server has to prove that it is there. */
  readonly needsProof: boolean;
}

interface Claim {
  readonly announcement: Announcement;
  readonly atMs: number;
}

/** Judges the announcements that arrive for one address. */
export class AnnouncementOrder {
  readonly #clock: Clock;
  /** First announcement of a sender that has not proved yet that it is there. */
  #claim: Claim | undefined;
  /** Servers whose claim another one has refuted; they need a proof. */
  readonly #refuted = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Judges an announcement; it is remembered if it is held. */
  judge(announced: Announcement, { current, needsProof }: OrderState): Verdict {
    const isRuledOut = current
      ? isOutdated(announced, current) ||
        (!isSameServer(announced, current) &&
          this.#refuted.has(formatServer(announced)))
      : needsProof;
    if (!isRuledOut) {
      this.#claim = undefined;
      return VERDICTS.accepted;
    }
    if (!this.#proves(announced)) {
      return VERDICTS.held;
    }
    if (current && !isSameServer(announced, current)) {
      this.#refute(current);
    }
    this.#refuted.delete(formatServer(announced));
    return VERDICTS.proven;
  }

  /** Returns the announcement that is held, and forgets it. */
  takeHeld(): Announcement | undefined {
    const held = this.#claim?.announcement;
    this.#claim = undefined;
    return held;
  }

  /** Whether an announcement confirms the held one of the same server; otherwise holds it in its place. */
  #proves(announcement: Announcement): boolean {
    const atMs = this.#clock.monotonicMs();
    const claim = this.#claim;
    if (!claim || !isSameServer(announcement, claim.announcement)) {
      this.#claim = { announcement, atMs };
      return false;
    }
    const isLater = (announcement.sequence ?? Infinity) >
      (claim.announcement.sequence ?? -1);
    if (!isLater || atMs - claim.atMs < MIN_RENEWAL_MS) {
      return false;
    }
    this.#claim = undefined;
    return true;
  }

  #refute(server: Announcement): void {
    this.#refuted.add(formatServer(server));
    const [oldest] = this.#refuted;
    if (this.#refuted.size > MAX_REFUTED && oldest !== undefined) {
      this.#refuted.delete(oldest);
    }
  }
}

/** Whether an announcement is from an earlier process than the current one, or from the same one with a lower sequence number. */
function isOutdated(
  announced: Announcement,
  current: Announcement,
): boolean {
  const { startedAtMs, sequence } = announced;
  if (startedAtMs === undefined || sequence === undefined) {
    return false;
  }
  return isSameServer(announced, current)
    ? sequence <= (current.sequence ?? -1)
    : startedAtMs < (current.startedAtMs ?? 0);
}

function isSameServer(one: Announcement, other: Announcement): boolean {
  return one.instanceId === other.instanceId &&
    one.startedAtMs === other.startedAtMs;
}

function formatServer({ instanceId, startedAtMs }: Announcement): string {
  return `${instanceId}/${startedAtMs}`;
}
