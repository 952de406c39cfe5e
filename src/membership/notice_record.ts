/**
 * Records that carry notices of requests which crash backend servers, and of
 * configuration versions that were refused.
 *
 * Like a departure, a notice is the record of a dead member at the address of
 * the daemon that sent it, so that daemons of older builds keep and forward it.
 * It expires at a time of its own. A delegate that receives the notice of another
 * failure domain adds a copy to its own one, whose members then have it from
 * each other, those that start later as well. Notices of refused versions are not
 * copied, since each failure domain has watchers of its own.
 */

import type { MemberRecord } from "../generated/types.ts";
import { FINGERPRINT_LENGTH } from "../quarantine/mod.ts";
import { formatGossipAddress } from "./gossip_context.ts";
import type { FleetNotice } from "./membership.ts";

/** Time for which a notice is kept, in milliseconds. */
export const NOTICE_RETENTION_MS = 600_000;

/** Longest time by which the clock of the sender may be ahead, in milliseconds. */
const MAX_CLOCK_LEAD_MS = 60_000;

/** Maximum length of the field that holds fingerprints. */
const MAX_SUCCESSOR_LENGTH = 128;

const FINGERPRINTS_PER_RECORD = Math.floor(
  MAX_SUCCESSOR_LENGTH / FINGERPRINT_LENGTH,
);

const KINDS = {
  crash: "crash",
  cleanRun: "clean-run",
  refusedVersion: "refused-version",
} as const;

/** Matches the incarnation of a notice: address of the daemon, kind, subject, part, and the failure domain of a copy. */
const PATTERN =
  /^[^!]+!(crash|clean-run|refused-version)\/([^!/@]+)\/(\d+)(@.+)?$/;

/**
 * Creates the records that carry a notice.
 *
 * @param self - Record of the daemon that sends the notice
 * @param notice - The notice
 * @returns The records
 *
 * @example
 * createNoticeRecords(table.self, notice).forEach((record) => table.merge(record));
 */
export function createNoticeRecords(
  self: MemberRecord,
  notice: FleetNotice,
): MemberRecord[] {
  const prefix = `${formatGossipAddress(self)}!${notice.kind}`;
  if (notice.kind === KINDS.refusedVersion) {
    const { version, atMs } = notice;
    return [createRecord(self, `${prefix}/${version}/0`, atMs)];
  }
  if (notice.kind === KINDS.cleanRun) {
    const { fingerprint, atMs } = notice;
    return [{
      ...createRecord(self, `${prefix}/${fingerprint}/0`, atMs),
      version: atMs,
    }];
  }
  const { fingerprints, processId, service, callCount, atMs } = notice;
  const parts = Math.ceil(fingerprints.length / FINGERPRINTS_PER_RECORD);
  return Array.from({ length: parts }, (_, part) => ({
    ...createRecord(self, `${prefix}/${processId}/${part}`, atMs),
    service,
    inFlight: callCount,
    successor: fingerprints.slice(
      part * FINGERPRINTS_PER_RECORD,
      (part + 1) * FINGERPRINTS_PER_RECORD,
    ).join(""),
  }));
}

/** Whether a record carries a notice. */
export function isNotice({ incarnation }: MemberRecord): boolean {
  return incarnation.includes("!") && PATTERN.test(incarnation);
}

/**
 * Reads the notice that a record carries.
 *
 * @param record - A record of any kind
 * @returns The notice, or undefined if the record carries none
 *
 * @example
 * const notice = readNotice(record);
 */
export function readNotice(record: MemberRecord): FleetNotice | undefined {
  if (!isNotice(record)) {
    return undefined;
  }
  const [, kind, subject = ""] = PATTERN.exec(record.incarnation) ?? [];
  const { address: vmAddress, service, inFlight, successor } = record;
  const { warmAtMs: atMs } = record;
  switch (kind) {
    case KINDS.cleanRun:
      return { kind, fingerprint: subject, atMs };
    case KINDS.refusedVersion:
      return { kind, version: Number(subject), atMs };
    case KINDS.crash:
      return {
        ...{ kind, atMs, service, vmAddress, processId: subject },
        callCount: inFlight,
        fingerprints: splitFingerprints(successor),
      };
    default:
      return undefined;
  }
}

/**
 * Creates the copy of a notice of another failure domain.
 *
 * @param record - Record that carries the notice
 * @param self - Record of this daemon
 * @returns The copy, or undefined if the record is from this failure domain, a copy
 *   itself, or about a refused version
 *
 * @example
 * const copy = copyNotice(record, table.self);
 */
export function copyNotice(
  record: MemberRecord,
  { region, failureDomain }: MemberRecord,
): MemberRecord | undefined {
  const [, kind, , , copiedTo] = PATTERN.exec(record.incarnation) ?? [];
  const isCopied = record.failureDomain !== failureDomain &&
    copiedTo === undefined && kind !== KINDS.refusedVersion;
  return isCopied
    ? {
      ...{ ...record, region, failureDomain },
      incarnation: `${record.incarnation}@${failureDomain}`,
    }
    : undefined;
}

/** Whether a record carries the copy of a notice of another failure domain. */
export function isCopy({ incarnation }: MemberRecord): boolean {
  return PATTERN.exec(incarnation)?.[4] !== undefined;
}

/**
 * Whether a notice no longer counts, or claims a time that has not come.
 *
 * @param record - Record that carries the notice
 * @param nowMs - Time, in milliseconds since the epoch
 * @returns Whether the record is not to be kept
 *
 * @example
 * if (isNotice(record) && isExpiredNotice(record, clock.nowMs())) table.remove(record.incarnation);
 */
export function isExpiredNotice(
  { warmAtMs }: MemberRecord,
  nowMs: number,
): boolean {
  return warmAtMs <= nowMs - NOTICE_RETENTION_MS ||
    warmAtMs > nowMs + MAX_CLOCK_LEAD_MS;
}

function createRecord(
  { address, peerPort, region, failureDomain }: MemberRecord,
  incarnation: string,
  atMs: number,
): MemberRecord {
  return {
    ...{ incarnation, address, peerPort, region, failureDomain },
    // Earlier than any process, so that it takes no address from one.
    startedAtMs: 0,
    ...{ version: 1, state: "dead", service: "", slots: 0, inFlight: 0 },
    ...{ warmAtMs: atMs, successor: "" },
  };
}

function splitFingerprints(text: string): string[] {
  return Array.from(
    { length: Math.floor(text.length / FINGERPRINT_LENGTH) },
    (_, index) =>
      text.slice(
        index * FINGERPRINT_LENGTH,
        (index + 1) * FINGERPRINT_LENGTH,
      ),
  );
}
