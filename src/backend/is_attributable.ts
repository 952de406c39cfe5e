/**
 * Attribution of a response to the request that waits on its connection.
 *
 * A faulty backend server may write an earlier response once more, and the copy
 * may arrive at any time after the next request was sent. The place of a response
 * in the stream therefore proves nothing on a connection that has carried another
 * request. The id of the request does, and so does a connection without an
 * earlier request, of which nothing could be written again.
 */

/** What a response shows of the request to which it belongs. */
export interface ResponseEvidence {
  /** Id of the request that waits for a response. */
  readonly requestId: string;
  /** Id that the response names; undefined if it names none, empty if it names several different ones. */
  readonly statedId: string | undefined;
  /** Whether the response states that the request did not run; all others name an id. */
  readonly isRefusal: boolean;
  /** Whether no other request was sent on the connection before. */
  readonly isFirst: boolean;
  /** Whether other bytes followed the response at once, so that one of the two belongs to no request. */
  readonly hasExtraBytes: boolean;
}

/**
 * Reports whether a response belongs to the request that waits for it. The
 * outcome of a request is unknown if its response does not.
 *
 * @param evidence - What the response shows
 * @returns Whether the response may be believed
 *
 * @example
 * isAttributable({ requestId: "r2", statedId: "r1", isRefusal: true, isFirst: false, hasExtraBytes: false }); // false
 */
export function isAttributable(evidence: ResponseEvidence): boolean {
  const { requestId, statedId, isRefusal, isFirst, hasExtraBytes } = evidence;
  return statedId === undefined
    ? isRefusal && isFirst && !hasExtraBytes
    : statedId === requestId;
}
