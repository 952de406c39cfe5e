/**
 * Constants of the framing.
 */

/** Length of the header that gives the payload's length, in bytes. */
export const FRAME_HEADER_BYTES = 4;
