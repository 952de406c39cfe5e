/**
 * The note on an answer that states the average load of the instance, and the
 * failure domains whose calls have left them and run there.
 */

import type { CallResult } from "../outcome/mod.ts";
import { PEER_NOTES } from "./peer_notes.ts";

/** Load in thousandths, and the domains after a semicolon, percent-encoded and separated by commas. */
const NOTE = /^(\d{1,6})(?:;(.*))?$/;

const PERMILLE = 1_000;

/** What the note states. */
export interface SpillNote {
  /** Running and waiting calls over the concurrency limit, averaged over some hundred milliseconds. */
  readonly averageLoad: number | undefined;
  readonly spillReceipts: readonly string[];
}

/**
 * Creates the note.
 *
 * @param note - Average load and domains; without a load there is no note
 * @returns Alternating names and values
 *
 * @example
 * createSpillNote({ averageLoad: 0.9, spillReceipts: ["gent-a"] }); // ["celeryhollow-load", "900;gent-a"]
 */
export function createSpillNote(
  { averageLoad, spillReceipts }: SpillNote,
): readonly string[] {
  if (averageLoad === undefined) {
    return [];
  }
  const domains = spillReceipts.map(encodeURIComponent).join(",");
  const value = String(Math.round(averageLoad * PERMILLE));
  return [PEER_NOTES.load, domains === "" ? value : `${value};${domains}`];
}

/**
 * Reads the note from a reply.
 *
 * @param result - Outcome of a call, with the notes of the replying daemon
 * @returns What it states; undefined without a readable note
 *
 * @example
 * const { averageLoad } = readSpillNote(reply) ?? {};
 */
export function readSpillNote(result: CallResult): SpillNote | undefined {
  const headers = result.isOk() ? result.value.headers : undefined;
  const index = headers?.lastIndexOf(PEER_NOTES.load) ?? -1;
  const match = index < 0 ? null : NOTE.exec(headers?.[index + 1] ?? "");
  if (!match) {
    return undefined;
  }
  return {
    averageLoad: Number(match[1]) / PERMILLE,
    spillReceipts: match[2] ? match[2].split(",").map(decodeDomain) : [],
  };
}

/**
 * Decodes the name of a failure domain in a note.
 *
 * @param text - The encoded name
 * @returns The name; empty, which is no domain's name, if it cannot be decoded
 *
 * @example
 * decodeDomain("gent%2Da"); // "gent-a"
 */
export function decodeDomain(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return "";
  }
}
