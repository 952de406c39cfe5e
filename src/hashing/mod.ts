/**
 * Hashing that spreads work and state.
 */

export { hashText } from "./hash_text.ts";
