/**
 * Notes between daemons about a call or a reply, as header fields with names of
 * their own. Unlike a new field of a message, a peer of an older build accepts
 * them.
 */

/** Names of the notes. */
export const PEER_NOTES = {
  /** On a call: no instance without a limit is left, so it may wait for one that has a limit. */
  lastResort: "celeryhollow-last-resort",
  /** Id of a backend server that leaves: on an answer the one that answered, on a call the last one that the sender knows of on the receiver's VM. */
  leavingServer: "celeryhollow-leaving-server",
  /** On a call: expected time to completion at another instance, in milliseconds; the receiver may hand the call back. */
  elsewhere: "celeryhollow-elsewhere",
  /** On an answer: momentary slowness of the VM in percent of the usual duration of work, and the age of the figure. */
  slowness: "celeryhollow-slowness",
  /** On an answer: average load of the instance, and the failure domains that send calls to it. */
  load: "celeryhollow-load",
  /** On a call: the failure domain of the sender, which has instances of its own but sends this call elsewhere. */
  spilledFrom: "celeryhollow-spilled-from",
} as const;

/** Header fields without their notes, and the notes by name. */
export interface ExtractedNotes {
  readonly headers: readonly string[];
  readonly notes: ReadonlyMap<string, string>;
}

const NAMES: ReadonlySet<string> = new Set(Object.values(PEER_NOTES));

/**
 * Extracts the notes from the header fields of a call or a reply.
 *
 * @param headers - Alternating names and values
 * @returns The other header fields, and the notes by name
 *
 * @example
 * const { headers, notes } = extractPeerNotes(message.headers);
 */
export function extractPeerNotes(headers: readonly string[]): ExtractedNotes {
  const notes = new Map<string, string>();
  if (!headers.some((text) => NAMES.has(text))) {
    return { headers, notes };
  }
  const others: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? "";
    const value = headers[index + 1] ?? "";
    if (NAMES.has(name)) {
      notes.set(name, value);
    } else {
      others.push(name, value);
    }
  }
  return { headers: others, notes };
}
