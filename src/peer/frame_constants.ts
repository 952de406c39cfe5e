/**
 * Constants of the frame format.
 */

/** Length of the frame header, which holds the payload length, in bytes. */
export const FRAME_HEADER_BYTES = 4;
