/**
 * Deterministic hashing for distributing load and state.
 */

export { hashText } from "./hash_text.ts";
