/**
 * The note on a reply that states the momentary slowness of the VM that ran the
 * call, with the age of the figure.
 */

import type { CallResult } from "../outcome/mod.ts";
import type { StatedSlowness } from "../slowness/mod.ts";
import { PEER_NOTES } from "./peer_notes.ts";

/** Ratio and age in whole units: percent of the usual duration, and milliseconds. */
const NOTE = /^(\d{1,5});(\d{1,5})$/;

const PERCENT = 100;

/**
 * Creates the note.
 *
 * @param slowness - The figure and its age; undefined if there is none
 * @returns Alternating names and values
 *
 * @example
 * createSlownessNote({ ratio: 2.5, ageMs: 30 }); // ["celeryhollow-slowness", "250;30"]
 */
export function createSlownessNote(
  slowness: StatedSlowness | undefined,
): readonly string[] {
  if (!slowness) {
    return [];
  }
  const percent = Math.round(slowness.ratio * PERCENT);
  const ageMs = Math.max(0, Math.round(slowness.ageMs));
  return [PEER_NOTES.slowness, `${percent};${ageMs}`];
}

/**
 * Reads the note from a reply.
 *
 * @param result - Outcome of a call, with the notes of the replying daemon
 * @returns The figure and its age when the reply was sent; undefined without a
 *   readable note
 *
 * @example
 * const slowness = readSlownessNote(reply);
 */
export function readSlownessNote(
  result: CallResult,
): StatedSlowness | undefined {
  const headers = result.isOk() ? result.value.headers : undefined;
  const index = headers?.lastIndexOf(PEER_NOTES.slowness) ?? -1;
  const match = index < 0 ? null : NOTE.exec(headers?.[index + 1] ?? "");
  return match && Number(match[1]) > 0
    ? { ratio: Number(match[1]) / PERCENT, ageMs: Number(match[2]) }
    : undefined;
}
