/**
 * A configuration version that a daemon refused, and why.
 */

import VError from "verror";

/** Where a refused version came from. */
export const REFUSAL_SOURCES = { store: "store", peer: "peer" } as const;

/** One of {@link REFUSAL_SOURCES}. */
export type RefusalSource =
  (typeof REFUSAL_SOURCES)[keyof typeof REFUSAL_SOURCES];

/** Reason of a refusal whose error names none. */
export const DEFAULT_REFUSAL_REASON = "invalid";

/** Reason for which an object of the store is refused that has a lower version than one that the store had before. */
export const OLD_VERSION_REASON = "old-version";

/** Form of a reason; it is a metric label and must not hold content of a document. */
const REASON_PATTERN = /^[a-z]+(-[a-z]+){0,4}$/;

/** Maximum length of a reason, in characters. */
const MAX_REASON_LENGTH = 40;

/** Maximum length of the named entry, in characters. */
const MAX_ENTRY_LENGTH = 200;

/** Maximum length of the whole error, in characters; a document may have 100,000 invalid rows. */
const MAX_ERROR_LENGTH = 2_000;

/** A configuration version that a daemon refused. */
export interface RefusedVersion {
  /** The version; 0 if the document states none. */
  readonly version: number;
  /** Machine-readable reason, such as `duplicate-route`. */
  readonly reason: string;
  /** The first finding, which names the invalid entry. */
  readonly entry: string;
  /** All findings, shortened. */
  readonly error: string;
  readonly source: RefusalSource;
  /** Incarnation of the peer whose copy was refused; empty for the store. */
  readonly peer: string;
  /** Revision of the object in the store; 0 for the copy of a peer. */
  readonly revision: number;
}

/** What was refused: an object of the store at a revision, or the copy of a peer. */
export type RefusedCopy = Pick<
  RefusedVersion,
  "version" | "source" | "peer" | "revision"
>;

/**
 * Describes a refusal by the error of the validation.
 *
 * @param copy - What was refused
 * @param error - Error of the validation, whose info may hold `reason`, `entry` and `findings`
 * @returns The refused version
 *
 * @example
 * const refused = describeRefusedVersion(copy, checked.error);
 */
export function describeRefusedVersion(
  copy: RefusedCopy,
  error: Error,
): RefusedVersion {
  const { reason, entry, findings } = VError.info(error) as {
    readonly [name: string]: unknown;
  };
  const [firstFinding] = Array.isArray(findings) ? findings : [];
  const named = [entry, firstFinding].find((each) => typeof each === "string");
  return {
    ...copy,
    reason: isReason(reason) ? reason : DEFAULT_REFUSAL_REASON,
    entry: shorten(
      named ?? error.message.split("; ", 1).join(),
      MAX_ENTRY_LENGTH,
    ),
    error: shorten(error.message, MAX_ERROR_LENGTH),
  };
}

function isReason(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_REASON_LENGTH &&
    REASON_PATTERN.test(value);
}

function shorten(text: string, maxLength: number): string {
  return text.length > maxLength ? `${text.slice(0, maxLength - 1)}…` : text;
}
